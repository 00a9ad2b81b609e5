"""The newest table known to this process, and the shards it is active for."""

from result import Err, Ok, Result

from lacewingpond.shards.base import Ownership, ShardComponent
from lacewingpond.shards.held_states import ComponentState, HeldStates
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.row import ShardRow
from lacewingpond.shards.table import ShardTable
from lacewingpond.shards.table_store import StoredTable, TableStore
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class LocalShards:
    """State shared by the modules of the shard manager.

    Parameters
    ----------
    options : ShardOptions
        Intervals and limits.
    process : ProcessId
        This process.
    tables : TableStore
        The stored table.
    clock : Clock
        Source of time.
    log : DecisionLog
        Gets an entry for each shard acquired or lost, and for a stored table that is
        older than the known one.

    Attributes
    ----------
    table : ShardTable
        The newest known table.
    active : dict of int to Ownership
        Shards for which this process acts as the owner, while its ownership is valid.
    held_states : HeldStates
        States received for shards that this process does not own yet.
    stopping : bool
        Set at a planned stop; no more shards are acquired then.
    """

    __slots__ = (
        "process",
        "table",
        "active",
        "held_states",
        "stopping",
        "_options",
        "_tables",
        "_clock",
        "_log",
        "_components",
        "_released_epochs",
        "_first_seen_at",
    )

    def __init__(
        self,
        options: ShardOptions,
        process: ProcessId,
        tables: TableStore,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.process = process
        self.table = ShardTable()
        self.active: dict[int, Ownership] = {}
        max_chunks = options.max_state_bytes // options.chunk_bytes + 1
        self.held_states = HeldStates(
            options.max_held_bytes, max_chunks, options.note_life_s
        )
        self.stopping = False
        self._options = options
        self._tables = tables
        self._clock = clock
        self._log = log
        self._components: list[ShardComponent] = []
        self._released_epochs: dict[int, int] = {}
        self._first_seen_at: dict[int, float] = {}

    def add_component(self, component: ShardComponent) -> None:
        """Register a component that keeps state for the owned shards."""
        self._components.append(component)

    def refresh(self) -> Result[StoredTable, StoreError]:
        """Read the table from the store and apply it.

        A stored table that is older than the known one, as after a restore of the
        store, is a `CONFLICT` error.
        """
        result = self._tables.read()
        if not isinstance(result, Ok):
            return result
        stored = result.ok_value
        if stored.table.version < self.table.version:
            why = (
                f"the stored table has version {stored.table.version}, "
                f"the known one {self.table.version}"
            )
            self._log.decision("shard-table-older", "store", why)
            return Err(StoreError(StoreFailure.CONFLICT, why))
        self.update(stored.table)
        return result

    def update(self, table: ShardTable) -> None:
        """Apply `table` if it is newer than the known one."""
        if table.version <= self.table.version:
            return
        self.table = table
        self._release_lost()

    def acquire(self) -> None:
        """Become active for the shards that the table assigns to this process.

        Shards whose state should have been handed over but is missing must wait until
        all grants of the previous owner have expired.
        """
        if self.stopping:
            return
        for row in self.table.rows_of(self.process):
            active = row.shard in self.active
            if not active and row.epoch > self._released_epochs.get(row.shard, -1):
                self._acquire_row(row)

    def release(self, shard: int) -> tuple[ComponentState, ...]:
        """Stop acting for `shard`, permanently in this epoch, and return its state."""
        ownership = self.active.pop(shard)
        self._released_epochs[shard] = ownership.epoch
        return tuple(
            ComponentState(component.name, component.release(shard))
            for component in self._components
        )

    def _release_lost(self) -> None:
        for shard, ownership in list(self.active.items()):
            row = self.table.rows.get(shard)
            if row and row.owner == self.process and row.epoch == ownership.epoch:
                continue
            self.release(shard)
            epoch = None if row is None else row.epoch
            why = "the table names another owner"
            self._log.decision("shard-lost", str(shard), why, epoch=epoch)

    def _acquire_row(self, row: ShardRow) -> None:
        held = self.held_states.get(row.shard, row.epoch - 1)
        lost = held is None and row.clean and row.epoch > 1
        if lost and not self._grants_expired(row):
            return
        ownership = row.to_ownership(with_state=not lost)
        self.active[row.shard] = ownership
        states = held.states() if held is not None and row.clean else ()
        by_component = {state.component: state.data for state in states}
        for component in self._components:
            component.acquire(ownership, by_component.get(component.name))
        self.held_states.discard(row.shard)
        self._first_seen_at.pop(row.shard, None)
        why = "handed over" if held is not None else "assigned"
        clean = ownership.clean
        self._log.decision(
            "shard-adopted", str(row.shard), why, epoch=row.epoch, clean=clean
        )

    def _grants_expired(self, row: ShardRow) -> bool:
        """Return whether all grants of the previous owner have expired by now.

        Needed when its state was lost. Counts from when this process first saw `row`.
        """
        now = self._clock.now()
        first_seen_at = self._first_seen_at.setdefault(row.shard, now)
        return now - first_seen_at >= self._options.longest_grant_s
