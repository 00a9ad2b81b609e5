"""Decides whether this process may act as the owner of its rows in the shard table."""

import random

from result import Ok

from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.pauses import PauseDetector
from lacewingpond.shards.table_store import TableStore
from lacewingpond.store.base import VmList
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_RETRY_S = 10.0
"""Upper bound of the mean interval between attempts to become valid again."""


class OwnershipValidity:
    """Self-fencing: suspends ownership after a pause or a removal from the VM list.

    Ownership starts out invalid. To become valid, this process must find itself in the
    VM list and must not have found itself missing within the last takeover wait. If it
    has rows, it must also write the table, so that a takeover that was decided on an
    older table fails its compare-and-swap.

    Parameters
    ----------
    options : ShardOptions
        Intervals.
    local : LocalShards
        The table and the shards of this process.
    fleet : FleetView
        Early notice that this VM was removed from the VM list.
    vm_list : VmList
        Read directly before ownership becomes valid.
    tables : TableStore
        The stored table.
    clock, rng : Clock, random.Random
        Time, and jitter of the attempts.
    log : DecisionLog
        Gets an entry whenever ownership becomes valid or invalid.

    Attributes
    ----------
    list_reads : int
        Reads of the VM list since the start.
    """

    __slots__ = (
        "list_reads",
        "_options",
        "_local",
        "_fleet",
        "_vm_list",
        "_tables",
        "_clock",
        "_rng",
        "_log",
        "_pauses",
        "_seen_pauses",
        "_valid",
        "_was_listed",
        "_delisted_at",
        "_retry_at",
        "_retry_s",
    )

    def __init__(
        self,
        options: ShardOptions,
        local: LocalShards,
        fleet: FleetView,
        vm_list: VmList,
        tables: TableStore,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.list_reads = 0
        self._options = options
        self._local = local
        self._fleet = fleet
        self._vm_list = vm_list
        self._tables = tables
        self._clock = clock
        self._rng = rng
        self._log = log
        self._pauses = PauseDetector(clock, options.max_gap_s)
        self._seen_pauses = 0
        self._valid = False
        self._was_listed = False
        self._delisted_at: float | None = None
        self._retry_at = float("-inf")
        self._retry_s = options.revalidate_s

    def is_valid(self) -> bool:
        """Return whether this process may act as an owner.

        Cheap enough to be called for each request.
        """
        pauses = self._pauses.count()
        if pauses != self._seen_pauses:
            self._seen_pauses = pauses
            self._invalidate("this process was paused")
        if self._fleet.is_delisted():
            self.mark_delisted()
        return self._valid

    def mark_delisted(self) -> None:
        """Stop acting as an owner because the VM list lacks this VM."""
        self._delisted_at = self._clock.now()
        self._invalidate("missing from the platform's VM list")

    def check_listed(self) -> bool:
        """Read the VM list; return whether the read succeeded and lists this VM."""
        ids = self.read_list()
        return ids is not None and self._local.process.vm_id in ids

    def read_list(self) -> frozenset[str] | None:
        """Read the VM list; return the ids in it, or None if the read failed.

        If this VM was listed before and is missing now, ownership becomes invalid.
        """
        self.list_reads += 1
        result = self._vm_list.read()
        if not isinstance(result, Ok):
            return None
        ids = frozenset(vm.vm_id for vm in result.ok_value)
        if self._local.process.vm_id in ids:
            self._was_listed = True
        elif self._was_listed:
            self.mark_delisted()
        return ids

    def revalidate(self) -> None:
        """Try to become valid, with exponential backoff after failed attempts."""
        now = self._clock.now()
        if self.is_valid() or now < self._retry_at:
            return
        if self._try_revalidate():
            self._valid = True
            self._delisted_at = None
            self._retry_s = self._options.revalidate_s
            self._log.decision(
                "shards-trusted",
                self._local.process.vm_id,
                "VM list and shard table read",
            )
            return
        self._retry_at = now + self._retry_s * self._rng.uniform(0.5, 1.5)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)

    def _try_revalidate(self) -> bool:
        pauses = self._pauses.count()
        if self._fleet.is_delisted() or not self.check_listed():
            return False
        if self._was_delisted_recently():
            return False
        read = self._local.refresh()
        if not isinstance(read, Ok):
            return False
        stored = read.ok_value
        if stored.table.rows_of(self._local.process):
            written = self._tables.write(stored, [])
            if not isinstance(written, Ok):
                return False
            self._local.update(written.ok_value)
        # After a pause during the attempt, the data read may be out of date.
        return self._pauses.count() == pauses and not self._fleet.is_delisted()

    def _was_delisted_recently(self) -> bool:
        if self._delisted_at is None:
            return False
        since_s = self._clock.now() - self._delisted_at
        return since_s < self._options.takeover_wait_s

    def _invalidate(self, why: str) -> None:
        if not self._valid:
            return
        self._valid = False
        self._retry_at = float("-inf")
        self._retry_s = self._options.revalidate_s
        count = len(self._local.active)
        self._log.decision(
            "shards-suspended", self._local.process.vm_id, why, shards=count
        )
