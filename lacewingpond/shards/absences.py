"""Tracks how long shard owners have been missing from the platform's VM list."""

from collections.abc import Mapping

from msgspec import Struct


class Absence(Struct, frozen=True):
    """When an owner was first seen missing, and its newest row at that time.

    Parameters
    ----------
    since : float
        Start of the first read without the owner, in monotonic seconds.
    row_version : int
        Table version of the owner's newest row.
    """

    since: float
    row_version: int


class Absences:
    """Owners that every read of the VM list has missed since their absence began.

    A VM owns shards only after it has found itself in the list, so a row in the table
    proves that its owner was listed once. A lagging list can therefore miss a live
    owner for no longer than the lag. A newer row of the owner restarts its absence.

    Parameters
    ----------
    wait_s : float
        Shortest time between the first and the last read without the owner, in
        seconds, before it is reported.
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
            Newest row version of each owner to check.
        read_at : float
            When the read began, in monotonic seconds.

        Returns
        -------
        list of str
            Owners that have been missing for at least `wait_s`.
        """
        previous, self._missing = self._missing, {}
        for vm_id, version in owners.items():
            if vm_id in listed:
                continue
            absence = previous.get(vm_id)
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
