"""Tests of the replayer of the scenario ``rates``."""

from pathlib import Path

import pytest

from lacewingpond.limits.windows import worst_excess
from lacewingpond.replay.rates import RatesReplayer
from lacewingpond.replay.runner import replay
from lacewingpond.replay.trace import Trace

TRACES = Path(__file__).parents[2] / "traces"


def test_committed_traces_equal_generated_ones():
    for name, trace in RatesReplayer().generate(1):
        assert (TRACES / name).read_bytes() == trace.to_bytes()


@pytest.mark.parametrize(
    "name",
    ["rates-owner-dies-chitra", "rates-single-slice-chitra", "rates-greedy-imbaraga"],
)
def test_current_variant_keeps_bounds(name):
    trace = Trace.from_file(TRACES / f"{name}.jsonl")
    rows = {row.measure: row for row in replay(name, trace)}
    assert [row.measure for row in rows.values() if not row.held] == []
    assert rows["requests"].current > 4000
    assert rows["refused_within_rate_steady"].naive > 0.01


@pytest.mark.parametrize(
    ("seed", "name"),
    [
        (2, "rates-owner-dies-imbaraga"),
        (2, "rates-single-slice-imbaraga"),
        (3, "rates-single-slice-chitra"),
        (4, "rates-greedy-imbaraga"),
    ],
)
def test_bounds_hold_on_further_seeds(seed, name):
    trace = dict(RatesReplayer().generate(seed))[f"{name}.jsonl"]
    broken = [row.measure for row in replay(name, trace) if not row.held]
    assert broken == []


def test_worst_excess_is_that_of_the_worst_window():
    times = [0.0, 0.0, 0.0, 5.0, 5.1]
    assert worst_excess(times, rate=1.0, burst=2.0) == pytest.approx(1.0)
    assert worst_excess(times[1:], rate=1.0, burst=2.0) == pytest.approx(0.0)
