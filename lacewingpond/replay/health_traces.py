"""Generates the traces of the scenario ``health``."""

import random

from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader

TARGETS = ("t0", "t1", "t2", "t3", "t4", "t5")
# Time before the first fault of most traces.
WARM_UP_S = 30.0
SAFETY_BOUNDS = (
    Expectation("false_ejections", at_most=0),
    Expectation("floor_breaches", at_most=0),
)
DETECTION_BOUNDS = (*SAFETY_BOUNDS, Expectation("detection_s", below_naive=True))
PARAMS = {"vms": 40, "targets": 6, "rate": 240, "seconds": 90, "noise": 0.03}


def health_traces(seed: int) -> tuple[tuple[str, Trace], ...]:
    """Return pairs of file name and trace, generated from `seed`."""
    rng = random.Random(seed)
    builders = (
        _half_failing,
        _half_failing_for_all,
        _slow_target,
        _noisy,
        _slow_period,
        _poison_requests,
        _cold_starts,
        _bad_links,
        _mostly_failing,
        _flapping,
        _draining,
        _detector_unreachable,
        _silent_connections,
        _large_fleet,
    )
    return tuple(builder(seed, rng) for builder in builders)


def _trace(
    name: str,
    title: str,
    seed: int,
    events: list[TraceEvent],
    expect: tuple[Expectation, ...] = SAFETY_BOUNDS,
    **params: float | str,
) -> tuple[str, Trace]:
    header = TraceHeader("health", title, seed, expect, {**PARAMS, **params})
    ordered = tuple(sorted(events, key=lambda event: event.at))
    return f"health-{name}", Trace(header, ordered)


def _half_failing(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.5, "one_vm_in": 8, "seconds": 60.0}
    event = TraceEvent(WARM_UP_S, "errors", rng.choice(TARGETS), fields)
    title = "a target fails half of its real work, one VM in 8 sees it"
    return _trace("half-failing", title, seed, [event], DETECTION_BOUNDS)


def _half_failing_for_all(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.5, "seconds": 60.0}
    event = TraceEvent(WARM_UP_S, "errors", rng.choice(TARGETS), fields)
    title = "a target fails half of its real work for all VMs"
    return _trace("half-failing-for-all", title, seed, [event], DETECTION_BOUNDS)


def _slow_target(seed: int, rng: random.Random) -> tuple[str, Trace]:
    # Slow responses count as a fault of the target: the "errors" event marks it as
    # faulty, so its ejection is correct.
    fields = {"share": 0.0, "seconds": 60.0}
    target = rng.choice(TARGETS)
    events = [
        TraceEvent(WARM_UP_S, "errors", target, fields),
        TraceEvent(WARM_UP_S, "slow", target, {"factor": 15.0, "seconds": 60.0}),
    ]
    return _trace(
        "slow-target",
        "a target answers 15 times slower",
        seed,
        events,
        DETECTION_BOUNDS,
    )


def _noisy(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(
            round(WARM_UP_S + rng.uniform(0.0, 50.0), 1),
            "noise",
            rng.choice(TARGETS),
            {"share": 0.12, "seconds": round(rng.uniform(0.5, 3.0), 1)},
        )
        for _ in range(12)
    ]
    title = "healthy targets with 3% failures and spells of 15%"
    return _trace("noisy", title, seed, events)


def _slow_period(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(
            at, "slow", "", {"factor": round(rng.uniform(5, 40), 1), "seconds": 8.0}
        )
        for at in (30.0, 50.0, 70.0)
    ]
    return _trace("slow-spell", "all targets turn slow at once", seed, events)


def _poison_requests(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(at, "poison", "", {"share": 0.01, "seconds": 2.0, "down_s": 3.0})
        for at in (30.0, 45.0, 60.0, 75.0)
    ]
    return _trace("poison", "single requests crash what runs them", seed, events)


def _cold_starts(seed: int, rng: random.Random) -> tuple[str, Trace]:
    events = [
        TraceEvent(
            WARM_UP_S + 8.0 * number,
            "restart",
            target,
            {"down_s": 3.0, "factor": round(rng.uniform(8, 20), 1), "seconds": 9.0},
        )
        for number, target in enumerate(rng.sample(TARGETS, 6))
    ]
    return _trace("cold-starts", "targets restart in turn and are cold", seed, events)


def _bad_links(seed: int, rng: random.Random) -> tuple[str, Trace]:
    whole, single = rng.sample(range(1, 40), 2)
    target = rng.choice(TARGETS)
    events = [
        TraceEvent(30.0, "link", f"vm-{whole:02d}", {"share": 0.6, "seconds": 60.0}),
        TraceEvent(
            35.0,
            "link",
            f"vm-{single:02d}",
            {"share": 1.0, "target": target, "seconds": 50.0},
        ),
    ]
    title = "one VM has a bad link to all targets, one to a single target"
    return _trace("bad-links", title, seed, events)


def _mostly_failing(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.7, "seconds": 60.0}
    events = [
        TraceEvent(30.0 + 5.0 * number, "errors", target, fields)
        for number, target in enumerate(rng.sample(TARGETS, 4))
    ]
    title = "4 of 6 targets fail one after another, above a floor of half"
    return _trace("mostly-failing", title, seed, events)


def _flapping(seed: int, rng: random.Random) -> tuple[str, Trace]:
    target = rng.choice(TARGETS)
    events = [
        TraceEvent(at, "errors", target, {"share": 0.8, "seconds": 6.0})
        for at in (30.0, 46.0, 62.0, 78.0)
    ]
    expect = (
        Expectation("floor_breaches", at_most=0),
        Expectation("failed_share", below_naive=True),
    )
    title = "a target flaps between well and sick"
    return _trace("flapping", title, seed, events, expect)


def _draining(seed: int, rng: random.Random) -> tuple[str, Trace]:
    event = TraceEvent(30.0, "drain", rng.choice(TARGETS), {"seconds": 60.0})
    expect = (*SAFETY_BOUNDS, Expectation("work_after_drain", at_most=0))
    title = "a target says in its answers that it drains"
    return _trace("draining", title, seed, [event], expect)


def _detector_unreachable(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.5, "seconds": 50.0}
    events = [
        TraceEvent(30.0, "cut", "vm-00", {"seconds": 60.0}),
        TraceEvent(40.0, "errors", rng.choice(TARGETS), fields),
    ]
    expect = (*SAFETY_BOUNDS, Expectation("failed_share", below_naive=True))
    title = "the judge is cut off while a target fails half of its work"
    return _trace("judge-away", title, seed, events, expect)


def _silent_connections(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.3, "seconds": 30.0}
    event = TraceEvent(30.0, "silent", rng.choice(TARGETS), fields)
    title = "open connections to a target have gone silent"
    return _trace("silent-connections", title, seed, [event])


def _large_fleet(seed: int, rng: random.Random) -> tuple[str, Trace]:
    fields = {"share": 0.5, "one_vm_in": 8, "seconds": 110.0}
    event = TraceEvent(40.0, "errors", f"t{rng.randrange(24)}", fields)
    title = "as half-failing, with 128 VMs of which a panel reports in full"
    return _trace(
        "large-fleet",
        title,
        seed,
        [event],
        DETECTION_BOUNDS,
        vms=128,
        targets=24,
        rate=200,
        seconds=150,
        check_steps=10,
        profile="large-fleet",
    )
