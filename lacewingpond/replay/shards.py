"""Replays crashes, pauses, store outages and restarts on the shards of a fleet."""

import random
from collections.abc import Callable

from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.shard_simulation import (
    STEP_S,
    ShardSimulation,
    ShardSimulationOptions,
)
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.shards.options import ShardOptions

SCENARIO = "shards"
# Time before the start of the trace, in which the fleet settles.
WARM_UP_S = 40.0
VMS = 40
SHARD_COUNT = 128

SAFETY_BOUNDS = (
    Expectation("double_owned", at_most=0),
    Expectation("state_lost_at_planned_stops", at_most=0),
)
MAX_UNOWNED_AT_PLANNED_STOP_S = 1.0
"""Longest time that a shard may have no owner at a planned stop."""
MAX_UNOWNED_AFTER_CRASH_S = 45.0
"""Longest time that a shard may have no owner after a crash.

The sum of 5 s until the platform drops the VM from its list, 2 s of lag of the list,
a takeover wait of 25 s, up to 6 s until the first and the last read of the list, a
stagger of 6 s between claimers, and one round of maintenance of each VM.
"""


class ShardReplayer:
    """Replays the scenario ``shards``."""

    scenario = SCENARIO

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return its measures."""
        params = trace.header.params
        options = ShardSimulationOptions(
            shards=ShardOptions(shard_count=int(params["shards"])),
            message_loss=float(params.get("message_loss", 0.0)),
        )
        simulation = ShardSimulation(options, variant, trace.header.seed)
        for number in range(int(params["vms"])):
            simulation.start(f"vm{number}")
        simulation.run(WARM_UP_S)
        simulation.reset_measures()
        start = simulation.clock.now()
        for event in trace.events:
            _run_until(simulation, start + event.at)
            EVENT_HANDLERS[event.kind](simulation, event)
        duration_s = simulation.clock.now() - start
        return {
            "double_owned": simulation.double_owned,
            "state_lost_at_planned_stops": simulation.truth.lost,
            "worst_unowned_s": simulation.worst_unowned_s,
            "unowned_shard_s": simulation.unowned_shard_s,
            "unclean_take_overs": simulation.truth.unclean_takeovers,
            "table_writes": simulation.store_writes(),
            "shard_store_calls_per_s": round(simulation.store_calls() / duration_s, 3),
            "list_reads_per_s": round(simulation.list_reads() / duration_s, 3),
        }

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        rng = random.Random(seed)
        builders = (
            _crash_trace,
            _rolling_restart_trace,
            _pause_trace,
            _outage_trace,
            _domain_loss_trace,
        )
        return tuple(builder(seed, rng) for builder in builders)


def _run_until(simulation: ShardSimulation, at: float) -> None:
    remaining_s = at - simulation.clock.now()
    if remaining_s >= STEP_S:
        simulation.run(remaining_s)


def _start_vm(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject not in simulation.vms:
        simulation.start(event.subject)


def _crash_vm(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        simulation.crash(event.subject)


def _stop_vm(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        simulation.stop(event.subject, float(event.fields["grace_s"]))


def _pause_vm(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        simulation.pause(event.subject, float(event.fields["seconds"]))


def _pause_vm_in_call(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        before = bool(event.fields["before"])
        simulation.pause_in_call(event.subject, float(event.fields["seconds"]), before)


def _unlist_vm(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        simulation.unlist(event.subject, float(event.fields["seconds"]))


def _set_store_outage(simulation: ShardSimulation, event: TraceEvent) -> None:
    simulation.set_outage(bool(event.fields["away"]))


def _lose_response(simulation: ShardSimulation, event: TraceEvent) -> None:
    if event.subject in simulation.vms:
        simulation.vms[event.subject].faults.lose_answers = 1


def _set_list_lag(simulation: ShardSimulation, event: TraceEvent) -> None:
    simulation.vm_list.lag_s = float(event.fields["seconds"])


def _end(simulation: ShardSimulation, event: TraceEvent) -> None:
    """Do nothing; the event extends the replay to its time."""


EVENT_HANDLERS: dict[str, Callable[[ShardSimulation, TraceEvent], None]] = {
    "start": _start_vm,
    "crash": _crash_vm,
    "stop": _stop_vm,
    "pause": _pause_vm,
    "pause-in-call": _pause_vm_in_call,
    "unlist": _unlist_vm,
    "store-outage": _set_store_outage,
    "lose-answer": _lose_response,
    "list-lag": _set_list_lag,
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
        expect=SAFETY_BOUNDS + bounds,
        params={"vms": vms, "shards": SHARD_COUNT},
    )
    return Trace(header, tuple(sorted(events, key=lambda event: event.at)))


def _crash_trace(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [TraceEvent(240.0, "end")]
    for number, vm in enumerate(rng.sample(range(VMS), 4)):
        at = 5.0 + 40.0 * number
        events.append(TraceEvent(at, "crash", f"vm{vm}"))
        events.append(TraceEvent(at + 10.0, "start", f"vm{100 + number}"))
    restarted = rng.randrange(VMS)
    events.append(TraceEvent(170.0, "crash", f"vm{restarted}"))
    events.append(TraceEvent(171.0, "start", f"vm{restarted}"))
    bound = Expectation("worst_unowned_s", at_most=MAX_UNOWNED_AFTER_CRASH_S)
    title = "four owners crash and are replaced, a fifth restarts on its VM"
    return "shards-crash.jsonl", _trace(title, seed, events, (bound,))


def _rolling_restart_trace(seed: int, rng: random.Random) -> tuple[str, Trace]:
    order = list(range(VMS))
    rng.shuffle(order)
    events = [TraceEvent(10.0 * VMS + 30.0, "end")]
    for position, number in enumerate(order):
        at = 10.0 * position
        events.append(TraceEvent(at, "stop", f"vm{number}", {"grace_s": 20.0}))
        events.append(TraceEvent(at + 4.0, "start", f"vm{number}"))
    bounds = (
        Expectation("worst_unowned_s", at_most=MAX_UNOWNED_AT_PLANNED_STOP_S),
        Expectation("unclean_take_overs", at_most=0),
    )
    title = "all VMs are restarted one after the other"
    return "shards-rolling-restart.jsonl", _trace(title, seed, events, bounds)


def _pause_trace(seed: int, rng: random.Random) -> tuple[str, Trace]:
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


def _outage_trace(seed: int, rng: random.Random) -> tuple[str, Trace]:
    """Start store outages 1 s before, at and 1 s after each kind of change."""
    events = []
    at = 5.0
    for kind in ("stop", "crash", "pause"):
        for offset in (-1.0, 0.0, 1.0):
            number = rng.randrange(VMS)
            events.append(_fault_event(kind, at, f"vm{number}"))
            events.append(_outage_event(at + offset, True))
            events.append(_outage_event(at + 25.0, False))
            other = f"vm{(number + 1) % VMS}"
            events.append(TraceEvent(at + 25.0, "lose-answer", other))
            events.append(TraceEvent(at + 26.0, "start", f"vm{number}"))
            at += 35.0
    events.append(_outage_event(at, True))
    events.append(_outage_event(at + 180.0, False))
    events.append(TraceEvent(at + 210.0, "end"))
    title = "the store is away around each kind of change, then for 3 minutes"
    return "shards-store-outage.jsonl", _trace(title, seed, events)


def _domain_loss_trace(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(10.0, "crash", f"vm{number}")
        for number in range(VMS)
        if number % ShardSimulationOptions().domains == 1
    ]
    events.append(TraceEvent(90.0, "end"))
    bound = Expectation("worst_unowned_s", at_most=MAX_UNOWNED_AFTER_CRASH_S)
    title = "all VMs of one failure domain crash at once"
    return "shards-domain-loss.jsonl", _trace(title, seed, events, (bound,))


def _fault_event(kind: str, at: float, vm: str) -> TraceEvent:
    fields = {"stop": {"grace_s": 20.0}, "pause": {"seconds": 30.0}}
    return TraceEvent(at, kind, vm, fields.get(kind, {}))


def _outage_event(at: float, unavailable: bool) -> TraceEvent:
    return TraceEvent(at, "store-outage", fields={"away": unavailable})
