"""Ranges of the store's history of which not all removals are known."""

MAX_GAPS = 8
"""Ranges that are kept apart; the oldest two are joined when there are more."""


class HistoryGaps:
    """Ranges of revisions within which keys may have come and gone unseen.

    A listing shows what there is, not what was removed before it. Changes after a
    revision within a range are incomplete. Those after its first or its last revision
    are complete: a key that was created within the range is unknown at its start, and
    one that was removed there is known to be gone at its end.
    """

    __slots__ = ("_ranges",)

    def __init__(self) -> None:
        self._ranges: list[tuple[int, int]] = []

    def add(self, start: int, end: int) -> None:
        """Add the range from `start` to `end`, which is joined with those it meets."""
        apart: list[tuple[int, int]] = []
        for first, last in self._ranges:
            if last <= start or end <= first:
                apart.append((first, last))
            else:
                start, end = min(start, first), max(end, last)
        if start < end:
            apart.append((start, end))
        apart.sort()
        if len(apart) > MAX_GAPS:
            apart[:2] = [(apart[0][0], apart[1][1])]
        self._ranges = apart

    @property
    def end(self) -> int:
        """Revision from which on all changes are known; 0 without a gap."""
        return self._ranges[-1][1] if self._ranges else 0

    def covers(self, revision: int, seen_until: int) -> bool:
        """Return whether changes after `revision` may lack removals.

        Parameters
        ----------
        revision : int
            Revision up to which all changes are known to the daemon that asks.
        seen_until : int
            Revision up to which it may know some; at least `revision`.
        """
        return any(
            first < seen_until and revision < last for first, last in self._ranges
        )
