"""Reads the platform's list of VMs and merges it into the table."""

import random

from result import Ok, Result

from lacewingpond.membership.options import MembershipOptions
from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.store.base import StoreError, VmList, VmRecord
from lacewingpond.util.clock import Clock

LISTED_VM_BYTES = 80
"""Size of one VM's entry in the platform's list."""


class VmListReader:
    """Reads the platform's list, and tracks how old this VM's copy of it is.

    Parameters
    ----------
    options : MembershipOptions
        Lag of the list, and intervals between reads.
    vm_list : VmList
        The platform's list.
    table : MemberTable
        The table that the list is merged into.
    clock, rng : Clock, random.Random
        Time, and jitter of the reads.

    Attributes
    ----------
    reads : int
        Number of reads since the start.
    """

    __slots__ = (
        "reads",
        "_options",
        "_vm_list",
        "_table",
        "_clock",
        "_rng",
        "_list_known_at",
        "_last_ids",
        "_missing_since",
        "_fallback_s",
        "_next_fallback_at",
        "_next_read_at",
    )

    def __init__(
        self,
        options: MembershipOptions,
        vm_list: VmList,
        table: MemberTable,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.reads = 0
        self._options = options
        self._vm_list = vm_list
        self._table = table
        self._clock = clock
        self._rng = rng
        self._list_known_at = float("-inf")
        self._last_ids: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._fallback_s = options.list_interval_s
        self._next_fallback_at = float("-inf")
        self._next_read_at = float("-inf")

    def age_s(self) -> float:
        """Return the age in seconds of the newest list that was merged completely."""
        return self._clock.now() - self._list_known_at

    def record_relayed_list(self, age_s: float) -> None:
        """Record that another VM relayed the whole list, `age_s` seconds old."""
        self._list_known_at = max(self._list_known_at, self._clock.now() - age_s)

    def interval_s(self) -> float:
        """Return the mean seconds between two reads of a reader, by the list's size."""
        size = len(self._table) * LISTED_VM_BYTES
        by_size_s = size / self._options.list_bytes_per_s
        return max(self._options.list_interval_s, by_size_s)

    def read_due(self) -> bool:
        """Return whether a reader should read the list now."""
        now = self._clock.now()
        if now < self._next_read_at:
            return False
        interval_s = self.interval_s()
        if interval_s > self._options.list_interval_s:
            # Random, so that the reads of all readers spread over the interval.
            self._next_read_at = now + interval_s * self._rng.uniform(0.5, 1.5)
        return True

    def fallback_due(self) -> bool:
        """Return whether any VM should read the list, as the known one is too old."""
        now = self._clock.now()
        stale = now - self._list_known_at > self._options.list_max_age_s
        if not stale:
            self._fallback_s = self._options.list_interval_s
            return False
        if now < self._next_fallback_at:
            return False
        self._next_fallback_at = now + self._fallback_s * self._rng.uniform(0.5, 1.5)
        self._fallback_s = min(2 * self._fallback_s, self._options.fallback_max_s)
        return True

    def read(self) -> Result[list[MemberRecord], StoreError]:
        """Read the list and merge it; return the records that changed."""
        started = self._clock.now()
        self.reads += 1
        result = self._vm_list.read()
        if not isinstance(result, Ok):
            return result
        changed = [
            record for vm in result.ok_value if (record := self._merge_listed(vm))
        ]
        ids = frozenset(vm.vm_id for vm in result.ok_value)
        changed += self._merge_missing(ids, started)
        self._last_ids = ids
        self._list_known_at = max(self._list_known_at, started)
        return Ok(changed)

    def _merge_listed(self, vm: VmRecord) -> MemberRecord | None:
        self._missing_since.pop(vm.vm_id, None)
        record = MemberRecord.from_listed(vm)
        old = self._table.get(vm.vm_id)
        if old is not None:
            raised = int(old.status is MemberStatus.GONE)
            record = old.with_status(record.status, raise_version=raised)
        return record if self._table.merge(record, self._clock.now()) else None

    def _merge_missing(self, ids: frozenset[str], now: float) -> list[MemberRecord]:
        """Mark VMs as gone that the list no longer has, or has lacked for its lag."""
        gone = []
        for record in list(self._table.records()):
            if record.vm_id in ids or record.status is MemberStatus.GONE:
                continue
            since = self._missing_since.setdefault(record.vm_id, now)
            # A VM that the last list lacked may have joined since, as the list lags.
            delisted = record.vm_id in self._last_ids
            if delisted or now - since >= self._options.list_lag_s:
                self._missing_since.pop(record.vm_id)
                gone.append(record.with_status(MemberStatus.GONE))
        return [record for record in gone if self._table.merge(record, now)]
