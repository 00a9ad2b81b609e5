"""Tests of the replayer of the scenario ``shards``."""

from pathlib import Path

import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shards import EVENT_HANDLERS, ShardReplayer
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"


def test_committed_traces_equal_generated_ones():
    for name, trace in ShardReplayer().generate(1):
        assert (TRACES / name).read_bytes() == trace.to_bytes()
        assert {event.kind for event in trace.events} <= EVENT_HANDLERS.keys()


@pytest.mark.parametrize("name", ["shards-domain-loss", "shards-crash"])
def test_current_variant_keeps_bounds(name):
    trace = Trace.from_file(TRACES / f"{name}.jsonl")
    measures = ShardReplayer().play(trace, Variant.CURRENT)
    for bound in trace.header.expect:
        assert measures[bound.measure] <= bound.at_most
    assert measures["unclean_take_overs"] > 0
