"""Tests of the player of the shards."""

from pathlib import Path

import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shards import EVENTS, ShardPlayer
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"


def test_committed_traces_are_the_generated_ones():
    for name, trace in ShardPlayer().generate(1):
        assert (TRACES / name).read_bytes() == trace.to_bytes()
        assert {event.kind for event in trace.events} <= EVENTS.keys()


@pytest.mark.parametrize("name", ["shards-domain-loss", "shards-crash"])
def test_bounds_hold(name):
    trace = Trace.from_file(TRACES / f"{name}.jsonl")
    measures = ShardPlayer().play(trace, Variant.CURRENT)
    for bound in trace.header.expect:
        assert measures[bound.measure] <= bound.at_most
    assert measures["unclean_take_overs"] > 0
