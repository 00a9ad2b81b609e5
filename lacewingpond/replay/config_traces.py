"""Generates the traces of the scenario ``config``."""

import random

from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader

VMS = 40
PARAMS = {
    "vms": VMS,
    "domains": 3,
    "seconds": 60,
    "requests_per_s": 100,
    "loss": 0.0,
}
STEADY_CALLS_PER_S = 20.0
"""1% of the reads per second that the store accepts."""
PEAK_CALLS_PER_S = 200.0
"""10% of the reads per second that the store accepts."""

LOST_RESPONSE_PREFIXES = ("config/head", "config/chunk/", "config/plan/", "")
OPERATOR_EVENTS = frozenset({"set-rate", "withdraw"})

SAFETY_BOUNDS = (
    Expectation("reverts", at_most=0),
    Expectation("untruthful", at_most=0),
    Expectation("isolated_vm_s", at_most=0),
)
FAST_BOUNDS = (
    *SAFETY_BOUNDS,
    Expectation("in_force_s", at_most=3.0),
    Expectation("withdrawn_s", at_most=3.0),
    Expectation("withdrawn_accepted", at_most=0),
    Expectation("store_calls_s", at_most=STEADY_CALLS_PER_S),
    Expectation("store_calls_peak_s", at_most=PEAK_CALLS_PER_S),
)
RECOVERY_BOUNDS = (
    *SAFETY_BOUNDS,
    Expectation("recovery_calls_peak_s", at_most=PEAK_CALLS_PER_S),
)


def config_traces(seed: int) -> tuple[tuple[str, Trace], ...]:
    """Return pairs of file name and trace, generated from `seed`."""
    rng = random.Random(seed)
    builders = (
        _store_up,
        _many_requests,
        _two_disconnected,
        _store_slow,
        _lossy_links,
        _lost_responses,
        _racing_operators,
        _outage,
        _older_store,
        _disconnected_group,
    )
    return tuple(builder(seed, rng) for builder in builders)


def _trace(
    name: str,
    title: str,
    seed: int,
    events: list[TraceEvent],
    expect: tuple[Expectation, ...] = FAST_BOUNDS,
    accepted: int | None = None,
    **params: float,
) -> tuple[str, Trace]:
    if accepted is None:
        accepted = sum(event.kind in OPERATOR_EVENTS for event in events)
    expect = (*expect, Expectation("changes", at_least=accepted))
    header = TraceHeader("config", title, seed, expect, {**PARAMS, **params})
    ordered = tuple(sorted(events, key=lambda event: event.at))
    return f"config-{name}", Trace(header, ordered)


def _random_vm(rng: random.Random, below: int = VMS) -> str:
    return f"vm-{rng.randrange(below)}"


def _random_changes(rng: random.Random, first: float, last: float) -> list[TraceEvent]:
    """Return operators' changes on random VMs between two times, in seconds.

    Every third change withdraws a key, for as long as there are keys.
    """
    events = []
    at, number = first, 0
    while at < last:
        fields = {"rate": float(rng.randint(10, 500))}
        kind = "set-rate"
        if number % 3 == 1 and number // 3 < 8:
            kind, fields = "withdraw", {"key": f"key-{number // 3}"}
        events.append(TraceEvent(round(at, 3), kind, _random_vm(rng, VMS - 2), fields))
        at += rng.uniform(4.0, 7.0)
        number += 1
    return events


def _store_up(seed: int, rng: random.Random) -> tuple[str, Trace]:
    title = "changes and withdrawals with the store up"
    return _trace("store-up", title, seed, _random_changes(rng, 5.0, 50.0))


def _many_requests(seed: int, rng: random.Random) -> tuple[str, Trace]:
    title = "the same with 50 times the requests; store calls must not rise"
    events = _random_changes(rng, 5.0, 50.0)
    return _trace("many-requests", title, seed, events, requests_per_s=5_000)


def _two_disconnected(seed: int, rng: random.Random) -> tuple[str, Trace]:
    cut = [
        TraceEvent(2.0, "cut-store", f"vm-{number}", {"on": True})
        for number in (VMS - 2, VMS - 1)
    ]
    title = "two VMs are cut from the store but reach other VMs"
    return _trace("two-cut", title, seed, cut + _random_changes(rng, 5.0, 50.0))


def _store_slow(seed: int, rng: random.Random) -> tuple[str, Trace]:
    slow = [TraceEvent(2.0, "slow", fields={"delay_s": 0.15})]
    title = "each call to the store takes 150 ms"
    return _trace("store-slow", title, seed, slow + _random_changes(rng, 5.0, 50.0))


def _lossy_links(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(2.0, "cut-store", f"vm-{number}", {"on": True})
        for number in (VMS - 2, VMS - 1)
    ]
    for number in range(12):
        fields = {"to": f"vm-{VMS - 1 - number % 2}"}
        events.append(TraceEvent(2.0, "block", f"vm-{number}", fields))
    title = "links lose a tenth of all messages, some carry them one way only"
    events += _random_changes(rng, 5.0, 50.0)
    return _trace("lossy-links", title, seed, events, loss=0.1)


def _lost_responses(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = _random_changes(rng, 5.0, 50.0)
    losses = []
    for number, event in enumerate(events):
        prefix = LOST_RESPONSE_PREFIXES[number % len(LOST_RESPONSE_PREFIXES)]
        fields = {"count": rng.randint(1, 2), "prefix": prefix}
        losses.append(TraceEvent(event.at, "lose-answers", fields=fields))
    title = "answers of the store are lost after the write took effect"
    return _trace("lost-answers", title, seed, losses + events)


def _racing_operators(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [TraceEvent(4.0, "withdraw", _random_vm(rng), {"key": "key-0"})]
    for round_number in range(8):
        at = 8.0 + 5.0 * round_number
        for _ in range(4):
            fields = {"rate": float(rng.randint(10, 500))}
            late = round(at + rng.uniform(0.0, 0.01), 4)
            events.append(TraceEvent(late, "set-rate", _random_vm(rng), fields))
    slow = TraceEvent(2.0, "slow", fields={"delay_s": 0.005})
    title = "four operators confirm at the same moment on different VMs"
    return _trace("racing", title, seed, [slow, *events], accepted=9)


def _outage(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(5.0, "withdraw", _random_vm(rng), {"key": "key-0"}),
        TraceEvent(10.0, "outage", fields={"on": True}),
        TraceEvent(30.0, "set-rate", _random_vm(rng), {"rate": 50.0}),
        TraceEvent(210.0, "outage", fields={"on": False}),
        TraceEvent(215.0, "set-rate", _random_vm(rng), {"rate": 70.0}),
        TraceEvent(220.0, "withdraw", _random_vm(rng), {"key": "key-1"}),
    ]
    title = "the store is away for 200 s; no VM is isolated, no stampede after"
    # Store calls are bounded during the recovery only.
    expect = (*FAST_BOUNDS[:-2], *RECOVERY_BOUNDS[-1:])
    return _trace("outage", title, seed, events, expect, 3, seconds=235)


def _older_store(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(5.0, "keep-image"),
        TraceEvent(8.0, "withdraw", _random_vm(rng), {"key": "key-0"}),
        TraceEvent(12.0, "set-rate", _random_vm(rng), {"rate": 50.0}),
        TraceEvent(16.0, "outage", fields={"on": True}),
        TraceEvent(17.0, "older"),
        TraceEvent(20.0, "outage", fields={"on": False}),
        TraceEvent(21.0, "set-rate", _random_vm(rng), {"rate": 60.0}),
        TraceEvent(40.0, "set-rate", _random_vm(rng), {"rate": 70.0}),
    ]
    title = "the store comes back older; no VM reverts, it is written again"
    return _trace(
        "older", title, seed, events, (*FAST_BOUNDS, *RECOVERY_BOUNDS[-1:]), 3
    )


def _disconnected_group(seed: int, rng: random.Random) -> tuple[str, Trace]:
    group = ",".join(f"vm-{number}" for number in range(VMS - 6, VMS))
    events = [
        TraceEvent(5.0, "cut-vms", group),
        TraceEvent(8.0, "withdraw", "vm-0", {"key": "key-0"}),
    ]
    title = "six VMs are cut from the store and from all that hear it"
    expect = (
        *SAFETY_BOUNDS,
        Expectation("in_force_s", at_most=3.0),
        Expectation("withdrawn_s", at_most=30.0),
    )
    return _trace("cut-group", title, seed, events, expect)
