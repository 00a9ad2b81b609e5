"""Reads and writes the shard table in the platform's store."""

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.shards.move import Move
from lacewingpond.shards.table import ShardTable
from lacewingpond.store.base import Store, StoreError, StoreFailure
from lacewingpond.util.clock import Clock

KEY_PREFIX = "shards/"


class StoredTable(Struct, frozen=True):
    """A table and its store revision; revision 0 means that none is stored."""

    table: ShardTable
    revision: int


class TableStore:
    """Access to the stored shard table of one region.

    A stored value that can't be decoded counts as an unavailable store.

    Parameters
    ----------
    store : Store
        The platform's store.
    region : str
        Region of the table.
    clock : Clock
        Source of the write times in the rows.

    Attributes
    ----------
    reads, writes : int
        Calls to the store since the start.
    """

    __slots__ = ("reads", "writes", "_store", "_key", "_clock")

    def __init__(self, store: Store, region: str, clock: Clock) -> None:
        self.reads = 0
        self.writes = 0
        self._store = store
        self._key = f"{KEY_PREFIX}{region}"
        self._clock = clock

    def read(self) -> Result[StoredTable, StoreError]:
        """Read the table; an empty one when none is stored."""
        self.reads += 1
        result = self._store.get(self._key)
        if not isinstance(result, Ok):
            return result
        entry = result.ok_value
        if entry is None:
            return Ok(StoredTable(ShardTable(), 0))
        try:
            table = ShardTable.from_bytes(entry.value)
        except msgspec.DecodeError as exc:
            return Err(
                StoreError(StoreFailure.UNAVAILABLE, f"malformed shard table: {exc}")
            )
        return Ok(StoredTable(table, entry.revision))

    def write(
        self, stored: StoredTable, moves: list[Move]
    ) -> Result[ShardTable, StoreError]:
        """Apply `moves` in one compare-and-swap write against `stored`.

        If the result of the write is unknown, the table is read back to find out.
        With no moves the write only increases the version, which makes every write
        based on an older read fail.
        """
        table = stored.table.with_moves(moves, self._clock.wall())
        return self.put(table, stored.revision, moves)

    def put(
        self, table: ShardTable, revision: int, moves: list[Move]
    ) -> Result[ShardTable, StoreError]:
        """Replace the table stored at `revision` by `table`.

        Parameters
        ----------
        table : ShardTable
            The new table.
        revision : int
            Store revision of the table to replace.
        moves : list of Move
            Changes to look for when an unknown result is read back; without any it
            stays an error.
        """
        self.writes += 1
        result = self._store.put_if(self._key, table.to_bytes(), revision)
        if isinstance(result, Ok):
            return Ok(table)
        if result.err_value.failure is not StoreFailure.UNKNOWN:
            return result
        return self._read_back(moves, result.err_value)

    def _read_back(
        self, moves: list[Move], error: StoreError
    ) -> Result[ShardTable, StoreError]:
        found = self.read()
        if not isinstance(found, Ok):
            return Err(error)
        table = found.ok_value.table
        if moves and all(table.contains(move) for move in moves):
            return Ok(table)
        return Err(error)
