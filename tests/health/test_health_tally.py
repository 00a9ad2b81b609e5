"""Tests of counting timeouts as silent connections."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally


def test_timeouts_are_recounted_as_silent_connections():
    tally = Tally()
    for _ in range(3):
        tally.add(Outcome.TIMEOUT, 1.0)
    tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, 2)
    assert tally.count_of(Outcome.TIMEOUT) == 1
    assert tally.count_of(Outcome.SILENT_CONNECTION) == 2


def test_no_more_timeouts_are_recounted_than_were_counted():
    tally = Tally()
    tally.add(Outcome.TIMEOUT, 1.0)
    tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, 5)
    assert (
        tally.count_of(Outcome.TIMEOUT),
        tally.count_of(Outcome.SILENT_CONNECTION),
    ) == (0, 1)
