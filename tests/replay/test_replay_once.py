"""Tests of the replayer of the scenario ``once``."""

from pathlib import Path

import pytest

from lacewingpond.replay.once import OnceReplayer
from lacewingpond.replay.runner import replay
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"
NAMES = ("repeats", "hand-over", "crash", "outage", "pause", "partition")


def test_committed_traces_equal_generated_ones():
    for name, trace in OnceReplayer().generate(1):
        assert (TRACES / name).read_bytes() == trace.to_bytes()


@pytest.mark.parametrize("name", NAMES)
def test_current_variant_keeps_bounds(name):
    trace = Trace.from_file(TRACES / f"once-{name}.jsonl")
    rows = {row.measure: row for row in replay(name, trace)}
    assert [row.measure for row in rows.values() if not row.held] == []
    assert rows["not_run_said_of_run"].naive > 0
    assert rows["keys_answered"].current > 0.5
