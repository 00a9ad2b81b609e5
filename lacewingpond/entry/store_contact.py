"""When the store was last out of reach of this VM and of all peers it heard."""

MIN_OUTAGE_S = 2.75
"""Shortest time without contact that counts as an outage: longer than a change of the
watcher takes, or a call on a connection that has fallen silent; shorter than targets
need to lose their entries."""


class StoreContact:
    """Contacts with the store, this VM's own and those that peers have told of.

    Times are seconds of the boot clock. A contact is dated by the start of its call.

    Attributes
    ----------
    returned_at : float
        Time of the first contact after the last outage; minus infinity without one.
        The first contact of a daemon ends no outage, as it knew no entries before.
    """

    __slots__ = ("returned_at", "_last_at")

    def __init__(self) -> None:
        self.returned_at = self._last_at = float("-inf")

    def record(self, at: float) -> float:
        """Record a contact, before the changes that it brought are applied.

        Returns
        -------
        float
            Length in seconds of the outage that it ends; 0 if it ends none.
        """
        gap_s = at - self._last_at
        is_first = self._last_at == float("-inf")
        self._last_at = max(self._last_at, at)
        if is_first or gap_s < MIN_OUTAGE_S:
            return 0.0
        self.record_return(at)
        return gap_s

    def record_return(self, at: float) -> None:
        """Record that an outage has ended at `at`, whether contacts show it or not."""
        self.returned_at = at
