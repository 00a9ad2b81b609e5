"""Tests of taking timeouts back that were due to silent connections."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally


def test_timeouts_become_silent_connections():
    tally = Tally()
    for _ in range(3):
        tally.add(Outcome.TIMEOUT, 1.0)
    tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, 2)
    assert tally.of(Outcome.TIMEOUT) == 1
    assert tally.of(Outcome.SILENT_CONNECTION) == 2


def test_no_more_is_taken_back_than_was_counted():
    tally = Tally()
    tally.add(Outcome.TIMEOUT, 1.0)
    tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, 5)
    assert (tally.of(Outcome.TIMEOUT), tally.of(Outcome.SILENT_CONNECTION)) == (0, 1)
