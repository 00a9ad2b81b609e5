"""Replays crashes, pauses, outages and restarts on the shards of a fleet."""

import random
from collections.abc import Callable

from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.shard_world import STEP_S, ShardWorld, WorldOptions
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.shards.options import ShardOptions

SCENARIO = "shards"
WARM_UP_S = 40.0
VMS = 40
SHARDS = 128

SAFE = (
    Expectation("double_owned", at_most=0),
    Expectation("state_lost_at_planned_stops", at_most=0),
)
PLANNED_GAP_S = 1.0
"""Longest time without an owner at a planned stop."""
CRASH_GAP_S = 45.0
"""Longest time without an owner after a crash: 5 s until the platform drops the VM,
2 s lag, 25 s wait, up to 6 s until the first read and the last, a stagger of 6 s, and
one round of each VM."""


class ShardPlayer:
    """Plays the scenario ``shards``."""

    scenario = SCENARIO

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return what came of it."""
        params = trace.header.params
        options = WorldOptions(
            shards=ShardOptions(shard_count=int(params["shards"])),
            message_loss=float(params.get("message_loss", 0.0)),
        )
        world = ShardWorld(options, variant, trace.header.seed)
        for number in range(int(params["vms"])):
            world.start(f"vm{number}")
        world.run(WARM_UP_S)
        world.begin_measures()
        start = world.clock.now()
        for event in trace.events:
            _run_until(world, start + event.at)
            EVENTS[event.kind](world, event)
        lasted_s = world.clock.now() - start
        return {
            "double_owned": world.double_owned,
            "state_lost_at_planned_stops": world.truth.lost,
            "worst_unowned_s": world.worst_unowned_s,
            "unowned_shard_s": world.unowned_shard_s,
            "unclean_take_overs": world.truth.unclean,
            "table_writes": world.store_writes(),
            "shard_store_calls_per_s": round(world.store_calls() / lasted_s, 3),
            "list_reads_per_s": round(world.list_reads() / lasted_s, 3),
        }

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return the scenario's traces by file name, drawn from `seed`."""
        rng = random.Random(seed)
        makers = (_crash, _rolling_restart, _pause, _outage, _domain_loss)
        return tuple(maker(seed, rng) for maker in makers)


def _run_until(world: ShardWorld, at: float) -> None:
    left_s = at - world.clock.now()
    if left_s >= STEP_S:
        world.run(left_s)


def _start(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject not in world.vms:
        world.start(event.subject)


def _crash_vm(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        world.crash(event.subject)


def _stop(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        world.stop(event.subject, float(event.fields["grace_s"]))


def _pause_vm(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        world.pause(event.subject, float(event.fields["seconds"]))


def _pause_in_call(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        before = bool(event.fields["before"])
        world.pause_in_call(event.subject, float(event.fields["seconds"]), before)


def _unlist(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        world.unlist(event.subject, float(event.fields["seconds"]))


def _set_outage(world: ShardWorld, event: TraceEvent) -> None:
    world.set_outage(bool(event.fields["away"]))


def _lose_answer(world: ShardWorld, event: TraceEvent) -> None:
    if event.subject in world.vms:
        world.vms[event.subject].faults.lose_answers = 1


def _set_lag(world: ShardWorld, event: TraceEvent) -> None:
    world.vm_list.lag_s = float(event.fields["seconds"])


def _end(world: ShardWorld, event: TraceEvent) -> None:
    """Mark the end of the trace."""


EVENTS: dict[str, Callable[[ShardWorld, TraceEvent], None]] = {
    "start": _start,
    "crash": _crash_vm,
    "stop": _stop,
    "pause": _pause_vm,
    "pause-in-call": _pause_in_call,
    "unlist": _unlist,
    "store-outage": _set_outage,
    "lose-answer": _lose_answer,
    "list-lag": _set_lag,
    "end": _end,
}


def _trace(
    title: str,
    seed: int,
    events: list[TraceEvent],
    bounds: tuple[Expectation, ...] = (),
    vms: int = VMS,
) -> Trace:
    header = TraceHeader(
        scenario=SCENARIO,
        title=title,
        seed=seed,
        expect=SAFE + bounds,
        params={"vms": vms, "shards": SHARDS},
    )
    return Trace(header, tuple(sorted(events, key=lambda event: event.at)))


def _crash(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [TraceEvent(240.0, "end")]
    for number, vm in enumerate(rng.sample(range(VMS), 4)):
        at = 5.0 + 40.0 * number
        events.append(TraceEvent(at, "crash", f"vm{vm}"))
        events.append(TraceEvent(at + 10.0, "start", f"vm{100 + number}"))
    restarted = rng.randrange(VMS)
    events.append(TraceEvent(170.0, "crash", f"vm{restarted}"))
    events.append(TraceEvent(171.0, "start", f"vm{restarted}"))
    bound = Expectation("worst_unowned_s", at_most=CRASH_GAP_S)
    title = "four owners crash and are replaced, a fifth restarts on its VM"
    return "shards-crash.jsonl", _trace(title, seed, events, (bound,))


def _rolling_restart(seed: int, rng: random.Random) -> tuple[str, Trace]:
    order = list(range(VMS))
    rng.shuffle(order)
    events = [TraceEvent(10.0 * VMS + 30.0, "end")]
    for place, number in enumerate(order):
        at = 10.0 * place
        events.append(TraceEvent(at, "stop", f"vm{number}", {"grace_s": 20.0}))
        events.append(TraceEvent(at + 4.0, "start", f"vm{number}"))
    bounds = (
        Expectation("worst_unowned_s", at_most=PLANNED_GAP_S),
        Expectation("unclean_take_overs", at_most=0),
    )
    title = "all VMs are restarted one after the other"
    return "shards-rolling-restart.jsonl", _trace(title, seed, events, bounds)


def _pause(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(100.0, "list-lag", fields={"seconds": 5.0}),
        TraceEvent(400.0, "end"),
    ]
    for at in range(5, 330, 15):
        vm = f"vm{rng.randrange(VMS)}"
        seconds = rng.choice((3.0, 8.0, 19.0, 40.0, 90.0))
        kind = rng.choice(("pause", "pause", "pause-in-call", "unlist"))
        fields = {"seconds": seconds}
        if kind == "pause-in-call":
            fields["before"] = rng.random() < 0.5
        events.append(TraceEvent(float(at), kind, vm, fields))
    title = "owners stand still or are dropped from a list that lags"
    return "shards-pause.jsonl", _trace(title, seed, events)


def _outage(seed: int, rng: random.Random) -> tuple[str, Trace]:
    """Take the store away around a planned stop, a crash and a pause in turn."""
    events = []
    at = 5.0
    for kind in ("stop", "crash", "pause"):
        for offset in (-1.0, 0.0, 1.0):
            number = rng.randrange(VMS)
            events.append(_fault(kind, at, f"vm{number}"))
            events.append(_away(at + offset, True))
            events.append(_away(at + 25.0, False))
            other = f"vm{(number + 1) % VMS}"
            events.append(TraceEvent(at + 25.0, "lose-answer", other))
            events.append(TraceEvent(at + 26.0, "start", f"vm{number}"))
            at += 35.0
    events.append(_away(at, True))
    events.append(_away(at + 180.0, False))
    events.append(TraceEvent(at + 210.0, "end"))
    title = "the store is away around each kind of change, then for 3 minutes"
    return "shards-store-outage.jsonl", _trace(title, seed, events)


def _domain_loss(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(10.0, "crash", f"vm{number}")
        for number in range(VMS)
        if number % WorldOptions().domains == 1
    ]
    events.append(TraceEvent(90.0, "end"))
    bound = Expectation("worst_unowned_s", at_most=CRASH_GAP_S)
    title = "all VMs of one failure domain crash at once"
    return "shards-domain-loss.jsonl", _trace(title, seed, events, (bound,))


def _fault(kind: str, at: float, vm: str) -> TraceEvent:
    fields = {"stop": {"grace_s": 20.0}, "pause": {"seconds": 30.0}}
    return TraceEvent(at, kind, vm, fields.get(kind, {}))


def _away(at: float, away: bool) -> TraceEvent:
    return TraceEvent(at, "store-outage", fields={"away": away})
