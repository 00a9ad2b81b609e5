"""Tests of the replayer of the scenario ``config``."""

from pathlib import Path

import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.config import ConfigReplayer
from lacewingpond.replay.runner import replay
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"


@pytest.mark.parametrize("name", ["config-older", "config-cut-group"])
def test_current_variant_keeps_bounds_and_naive_one_breaks_them(name):
    trace = Trace.from_file(TRACES / f"{name}.jsonl")
    rows = replay(name, trace)
    assert [row.measure for row in rows if not row.held] == []
    bounds = {bound.measure: bound.at_most for bound in trace.header.expect}
    naive = ConfigReplayer().play(trace, Variant.NAIVE)
    assert naive["withdrawn_s"] > bounds["withdrawn_s"]


def test_committed_traces_equal_generated_ones():
    for name, trace in ConfigReplayer().generate(1):
        assert (TRACES / f"{name}.jsonl").read_bytes() == trace.to_bytes()
