"""Tests of the replayers of health, placement, concurrency and queues."""

from pathlib import Path

import msgspec
import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.replayers import REPLAYERS
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"


def load(name, **params):
    trace = Trace.from_file(TRACES / f"{name}.jsonl")
    header = msgspec.structs.replace(
        trace.header, params={**trace.header.params, **params}
    )
    return msgspec.structs.replace(trace, header=header)


@pytest.mark.parametrize("scenario", ["concurrency", "health", "placement", "queues"])
def test_committed_traces_equal_generated_ones(scenario):
    for name, trace in REPLAYERS[scenario].generate(1):
        assert Trace.from_file(TRACES / f"{name}.jsonl") == trace


def test_failures_seen_by_one_vm_in_eight_are_detected_before_naive_variant():
    trace = load("health-half-failing")
    current = REPLAYERS["health"].play(trace, Variant.CURRENT)
    naive = REPLAYERS["health"].play(trace, Variant.NAIVE)
    assert current["detection_s"] < naive["detection_s"]
    assert current["false_ejections"] == 0


@pytest.mark.parametrize("profile", ["default", "certainty", "speed"])
def test_poison_requests_eject_no_healthy_target(profile):
    trace = load("health-poison", profile=profile, seconds=45)
    measures = REPLAYERS["health"].play(trace, Variant.CURRENT)
    assert measures["false_ejections"] == 0
    assert measures["floor_breaches"] == 0


def test_second_replay_has_the_same_measures():
    trace = load("placement-uneven", seconds=4)
    replayer = REPLAYERS["placement"]
    assert replayer.play(trace, Variant.CURRENT) == replayer.play(
        trace, Variant.CURRENT
    )


def test_excess_of_one_workspace_does_not_affect_the_others():
    trace = load("queues-five-times")
    measures = REPLAYERS["queues"].play(trace, Variant.CURRENT)
    assert measures["worst_others_served"] >= 0.99
    assert measures["refused_others"] <= 0.01
