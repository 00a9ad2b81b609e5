"""Tests of the ranges of history of which not all removals are known."""

from lacewingpond.entry import history_gaps as module
from lacewingpond.entry.history_gaps import HistoryGaps


def covered(gaps, revisions):
    return [revision for revision in revisions if gaps.covers(revision, revision)]


def test_ends_of_a_range_are_not_covered():
    gaps = HistoryGaps()
    gaps.add(0, 5)
    assert covered(gaps, range(8)) == [1, 2, 3, 4]


def test_range_that_is_empty_or_backward_covers_nothing():
    gaps = HistoryGaps()
    gaps.add(5, 5)
    gaps.add(7, 3)
    assert covered(gaps, range(10)) == []


def test_ranges_that_overlap_are_joined_and_others_kept_apart():
    gaps = HistoryGaps()
    gaps.add(0, 5)
    gaps.add(10, 15)
    gaps.add(3, 7)
    assert covered(gaps, range(17)) == [1, 2, 3, 4, 5, 6, 11, 12, 13, 14]


# Guards against a fleet whose gaps take memory without bound, or are forgotten.
def test_oldest_ranges_are_joined_when_there_are_too_many(monkeypatch):
    monkeypatch.setattr(module, "MAX_GAPS", 2)
    gaps = HistoryGaps()
    for start in (10, 20, 30):
        gaps.add(start, start + 3)
    assert covered(gaps, range(40)) == [*range(11, 23), 31, 32]


def test_daemon_that_has_seen_a_part_of_a_range_is_within_it():
    gaps = HistoryGaps()
    gaps.add(5, 9)
    assert gaps.covers(5, 6)
    assert gaps.covers(3, 6)
    assert not gaps.covers(5, 5)
    assert not gaps.covers(9, 12)
