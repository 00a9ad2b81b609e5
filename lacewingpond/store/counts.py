"""Counts of calls to the platform."""


class CallCounts:
    """Numbers of calls by kind.

    Attributes
    ----------
    by_kind : dict of str to int
        Calls since the start, by method name.
    waiting : int
        Watches that currently wait.
    """

    __slots__ = ("by_kind", "waiting")

    def __init__(self) -> None:
        self.by_kind: dict[str, int] = {}
        self.waiting = 0

    @property
    def total(self) -> int:
        """Number of calls of all kinds."""
        return sum(self.by_kind.values())

    def add(self, kind: str) -> None:
        """Count one call."""
        self.by_kind[kind] = self.by_kind.get(kind, 0) + 1
