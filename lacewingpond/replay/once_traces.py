"""Generates the traces of the scenario ``once``."""

import random
import uuid

from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader

VMS = 8
KEYS = 320
DURATION_S = 50.0
REPEAT_DELAYS_S = (0.15, 1.5, 6.0, 14.0)
"""Delays after the first request at which a caller repeats it."""
START_WALL_S = 1.8e9
"""Start of a replay, in seconds since the Unix epoch."""
UUID7_SHARE = 0.6
"""Share of the keys that are UUIDv7."""

BOUNDS = (
    Expectation("runs_above_one", at_most=0.0, below_naive=True),
    Expectation("not_run_said_of_run", at_most=0.0),
)


def once_traces(seed: int) -> tuple[tuple[str, Trace], ...]:
    """Return pairs of file name and trace, generated from `seed`."""
    fault_events = {
        "repeats": ("answers are lost and callers repeat through other VMs", ()),
        "hand-over": ("shards are handed over while requests run", _handover_events()),
        "crash": ("owners crash and are replaced", _crash_events(12.0, 18.0)),
        "outage": (
            "an owner crashes while the store is away",
            _crash_events(10.0, 40.0),
        ),
        "pause": ("owners are paused, replaced and come back", _pause_events()),
        "partition": ("links fail in one direction", _partition_events(seed)),
    }
    traces: list[tuple[str, Trace]] = []
    for number, (name, (title, events)) in enumerate(fault_events.items()):
        loss = 0.0 if name in ("repeats", "hand-over") else 0.02
        trace = _trace(seed + number, title, events, loss)
        traces.append((f"once-{name}.jsonl", trace))
    return tuple(traces)


def _trace(
    seed: int, title: str, fault_events: tuple[TraceEvent, ...], loss: float
) -> Trace:
    rng = random.Random(seed)
    events = [*fault_events]
    for _ in range(KEYS):
        events.extend(_request_events(rng))
    events.sort(key=lambda event: event.at)
    header = TraceHeader(
        scenario="once",
        title=title,
        seed=seed,
        expect=BOUNDS,
        params={"vms": VMS, "loss": loss},
    )
    return Trace(header, tuple(events))


def _request_events(rng: random.Random) -> list[TraceEvent]:
    first_at = rng.uniform(0.0, DURATION_S - REPEAT_DELAYS_S[-1])
    key = _random_key(rng, first_at)
    times = [first_at, *(first_at + after for after in REPEAT_DELAYS_S)]
    return [
        TraceEvent(round(at, 3), "request", key, {"vm": f"vm{rng.randrange(VMS)}"})
        for at in times
    ]


def _random_key(rng: random.Random, at: float) -> str:
    if rng.random() >= UUID7_SHARE:
        return f"order-{rng.getrandbits(40)}"
    unix_ms = int((START_WALL_S + at) * 1000.0)
    low_bits = rng.getrandbits(62)
    return str(uuid.UUID(int=unix_ms << 80 | 7 << 76 | 2 << 62 | low_bits))


def _crash_events(first_at: float, takeover_at: float) -> tuple[TraceEvent, ...]:
    return (
        TraceEvent(first_at, "crash", "vm2"),
        TraceEvent(takeover_at, "take_over", "vm2"),
        TraceEvent(first_at + 12.0, "crash", "vm5"),
        TraceEvent(max(first_at + 18.0, takeover_at), "take_over", "vm5"),
    )


def _handover_events() -> tuple[TraceEvent, ...]:
    return tuple(
        TraceEvent(8.0 + 6.0 * number, "hand_over", f"vm{number}")
        for number in range(5)
    )


def _pause_events() -> tuple[TraceEvent, ...]:
    return (
        TraceEvent(10.0, "pause", "vm1"),
        TraceEvent(11.5, "resume", "vm1"),
        TraceEvent(15.0, "pause", "vm3"),
        TraceEvent(22.0, "take_over", "vm3"),
        TraceEvent(23.0, "resume", "vm3"),
        TraceEvent(28.0, "pause", "vm6"),
        TraceEvent(33.0, "take_over", "vm6"),
        TraceEvent(33.2, "resume", "vm6"),
    )


def _partition_events(seed: int) -> tuple[TraceEvent, ...]:
    rng = random.Random(seed)
    events: list[TraceEvent] = []
    for _ in range(24):
        sender, receiver = rng.sample(range(VMS), 2)
        at = round(rng.uniform(2.0, 40.0), 3)
        fields = {"receiver": f"vm{receiver}"}
        events.append(TraceEvent(at, "block", f"vm{sender}", fields))
        events.append(TraceEvent(at + 5.0, "unblock", f"vm{sender}", fields))
    return tuple(events)
