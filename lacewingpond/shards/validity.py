"""Decides whether this process may act as the owner that the table says it is."""

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
"""Longest mean interval between two attempts to regain trust."""


class Trust:
    """Lost by a pause or by absence from the list, regained from list and store.

    To regain it this process must see itself in the list, must not have seen
    itself missing for the whole take-over wait, and must write the table, so that a
    take-over that was decided on an older table fails.

    Parameters
    ----------
    options : ShardOptions
        Waits.
    local : LocalShards
        The table and the shards of this process.
    fleet : FleetView
        Tells soon when this VM is missing from the list.
    vm_list : VmList
        Read directly before trust is regained.
    tables : TableStore
        The table in the store.
    clock, rng, log : Clock, random.Random, DecisionLog
        Time, spread of the attempts, and each loss and return of trust.
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
        "_missing_at",
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
        self._missing_at: float | None = None
        self._retry_at = float("-inf")
        self._retry_s = options.revalidate_s

    def holds(self) -> bool:
        """Return whether this process may act; cheap enough for each request."""
        pauses = self._pauses.count()
        if pauses != self._seen_pauses:
            self._seen_pauses = pauses
            self._lose("this process was paused")
        if self._fleet.is_dropped():
            self.note_missing()
        return self._valid

    def note_missing(self) -> None:
        """Stop acting because the platform's list lacks this VM."""
        self._missing_at = self._clock.now()
        self._lose("missing from the platform's list")

    def check_listed(self) -> bool:
        """Read the list; return whether it holds this VM."""
        ids = self.read_list()
        return ids is not None and self._local.me.vm_id in ids

    def read_list(self) -> frozenset[str] | None:
        """Read the list; a VM that misses itself in it loses trust."""
        self.list_reads += 1
        result = self._vm_list.read()
        if not isinstance(result, Ok):
            return None
        ids = frozenset(vm.vm_id for vm in result.ok_value)
        if self._local.me.vm_id in ids:
            self._was_listed = True
        elif self._was_listed:
            self.note_missing()
        return ids

    def revalidate(self) -> None:
        """Try to regain trust, at most once in each interval between attempts."""
        now = self._clock.now()
        if self.holds() or now < self._retry_at:
            return
        if self._try():
            self._valid = True
            self._missing_at = None
            self._retry_s = self._options.revalidate_s
            self._log.decision("shards-trusted", self._local.me.vm_id, "table read")
            return
        self._retry_at = now + self._retry_s * self._rng.uniform(0.5, 1.5)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)

    def _try(self) -> bool:
        pauses = self._pauses.count()
        if self._fleet.is_dropped() or not self.check_listed():
            return False
        if self._missing_lately():
            return False
        fresh = self._local.read_fresh()
        if not isinstance(fresh, Ok):
            return False
        stored = fresh.ok_value
        if stored.table.of(self._local.me):
            written = self._tables.write(stored, [])
            if not isinstance(written, Ok):
                return False
            self._local.learn(written.ok_value)
        # A pause during the attempt makes what was read old.
        return self._pauses.count() == pauses and not self._fleet.is_dropped()

    def _missing_lately(self) -> bool:
        if self._missing_at is None:
            return False
        listed_s = self._clock.now() - self._missing_at
        return listed_s < self._options.takeover_wait_s

    def _lose(self, why: str) -> None:
        if not self._valid:
            return
        self._valid = False
        self._retry_at = float("-inf")
        self._retry_s = self._options.revalidate_s
        count = len(self._local.acting)
        self._log.decision("shards-suspended", self._local.me.vm_id, why, shards=count)
