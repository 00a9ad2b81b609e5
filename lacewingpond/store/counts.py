"""Counts of calls to the platform, by kind."""


class CallCounts:
    """How many calls of each kind were made.

    Attributes
    ----------
    by_kind : dict of str to int
        Calls since the start, by name of the method.
    waiting : int
        Watches that wait now.
    """

    __slots__ = ("by_kind", "waiting")

    def __init__(self) -> None:
        self.by_kind: dict[str, int] = {}
        self.waiting = 0

    @property
    def total(self) -> int:
        """All calls together."""
        return sum(self.by_kind.values())

    def add(self, kind: str) -> None:
        """Count one call."""
        self.by_kind[kind] = self.by_kind.get(kind, 0) + 1
