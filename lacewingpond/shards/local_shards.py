"""The newest table that this process knows, and the shards that it acts for."""

from result import Err, Ok, Result

from lacewingpond.shards.base import Ownership, ShardPart
from lacewingpond.shards.held_states import HeldNotes, PartState
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.row import ShardRow
from lacewingpond.shards.table import ShardTable
from lacewingpond.shards.table_store import StoredTable, TableStore
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class LocalShards:
    """Table and acted-for shards, shared by the parts of the shard manager.

    Parameters
    ----------
    options : ShardOptions
        Waits and bounds.
    me : ProcessId
        This process.
    tables : TableStore
        The table in the store.
    clock, log : Clock, DecisionLog
        Time, and each change of an owner that concerns this process.
    """

    __slots__ = (
        "me",
        "table",
        "acting",
        "notes",
        "stopping",
        "_options",
        "_tables",
        "_clock",
        "_log",
        "_parts",
        "_released",
        "_seen_at",
    )

    def __init__(
        self,
        options: ShardOptions,
        me: ProcessId,
        tables: TableStore,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.me = me
        self.table = ShardTable()
        self.acting: dict[int, Ownership] = {}
        max_chunks = options.max_state_bytes // options.chunk_bytes + 1
        self.notes = HeldNotes(options.max_held_bytes, max_chunks, options.note_life_s)
        self.stopping = False
        self._options = options
        self._tables = tables
        self._clock = clock
        self._log = log
        self._parts: list[ShardPart] = []
        self._released: dict[int, int] = {}
        self._seen_at: dict[int, float] = {}

    def add_part(self, part: ShardPart) -> None:
        """Let `part` keep state for the shards that this process owns."""
        self._parts.append(part)

    def read_fresh(self) -> Result[StoredTable, StoreError]:
        """Read the table from the store and take it in.

        A store that came back older than what is known here is an error.
        """
        result = self._tables.read()
        if not isinstance(result, Ok):
            return result
        stored = result.ok_value
        if stored.table.version < self.table.version:
            why = f"version {stored.table.version}, known {self.table.version}"
            self._log.decision("shard-table-older", "store", why)
            return Err(StoreError(StoreFailure.CONFLICT, why))
        self.learn(stored.table)
        return result

    def learn(self, table: ShardTable) -> None:
        """Take in a newer table; an older one changes nothing."""
        if table.version <= self.table.version:
            return
        self.table = table
        self._drop_lost()

    def adopt(self) -> None:
        """Act for the shards that the table gives to this process."""
        if self.stopping:
            return
        for row in self.table.of(self.me):
            held = row.shard in self.acting
            if not held and row.epoch > self._released.get(row.shard, -1):
                self._adopt_row(row)

    def release(self, shard: int) -> tuple[PartState, ...]:
        """Stop acting for `shard` for good in this epoch; return its state."""
        ownership = self.acting.pop(shard)
        self._released[shard] = ownership.epoch
        return tuple(PartState(part.name, part.release(shard)) for part in self._parts)

    def _drop_lost(self) -> None:
        for shard, ownership in list(self.acting.items()):
            row = self.table.rows.get(shard)
            if row and row.owner == self.me and row.epoch == ownership.epoch:
                continue
            self.release(shard)
            epoch = None if row is None else row.epoch
            why = "the table names another owner"
            self._log.decision("shard-lost", str(shard), why, epoch=epoch)

    def _adopt_row(self, row: ShardRow) -> None:
        note = self.notes.get(row.shard, row.epoch - 1)
        lost = note is None and row.clean and row.epoch > 1
        if lost and not self._grants_expired(row):
            return
        ownership = row.to_ownership(with_state=not lost)
        self.acting[row.shard] = ownership
        states = note.states() if note is not None and row.clean else ()
        by_part = {state.part: state.data for state in states}
        for part in self._parts:
            part.adopt(ownership, by_part.get(part.name))
        self.notes.drop(row.shard)
        self._seen_at.pop(row.shard, None)
        why = "handed over" if note is not None else "assigned"
        clean = ownership.clean
        self._log.decision(
            "shard-adopted", str(row.shard), why, epoch=row.epoch, clean=clean
        )

    def _grants_expired(self, row: ShardRow) -> bool:
        """Return whether the grants of an owner whose state is lost have expired."""
        now = self._clock.now()
        seen_at = self._seen_at.setdefault(row.shard, now)
        return now - seen_at >= self._options.longest_grant_s
