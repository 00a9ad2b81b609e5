"""Keeps how long owners have been missing from the platform's list."""

from collections.abc import Mapping

from msgspec import Struct


class Absence(Struct, frozen=True):
    """When an owner was first missing, and which of its rows was the newest.

    Parameters
    ----------
    since : float
        Monotonic time in seconds.
    row_version : int
        Table version of the owner's newest row.
    """

    since: float
    row_version: int


class Absences:
    """Owners that were missing in each read so far.

    An owner has claimed only after it saw itself in the list, so a row in the table
    shows that it was listed. Reads that lag can miss it for the list's lag only.

    Parameters
    ----------
    wait_s : float
        How far apart the first and the last read must be, in seconds.
    """

    __slots__ = ("_wait_s", "_missing")

    def __init__(self, wait_s: float) -> None:
        self._wait_s = wait_s
        self._missing: dict[str, Absence] = {}

    def observe(
        self, listed: frozenset[str], owners: Mapping[str, int], read_at: float
    ) -> list[str]:
        """Record one read of the list.

        Parameters
        ----------
        listed : frozenset of str
            VM ids in the list.
        owners : mapping of str to int
            Newest row version of each VM that owns shards.
        read_at : float
            When the read began, in monotonic seconds.

        Returns
        -------
        list of str
            Owners that were missing for the whole wait.
        """
        old, self._missing = self._missing, {}
        for vm_id, version in owners.items():
            if vm_id in listed:
                continue
            absence = old.get(vm_id)
            if absence is None or absence.row_version != version:
                absence = Absence(read_at, version)
            self._missing[vm_id] = absence
        return [
            vm_id
            for vm_id, absence in self._missing.items()
            if read_at - absence.since >= self._wait_s
        ]

    def clear(self) -> None:
        """Forget all absences."""
        self._missing.clear()
