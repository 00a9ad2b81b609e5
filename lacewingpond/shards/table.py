"""The shard table, stored as one value."""

from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from lacewingpond.shards.move import Move
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.row import ShardRow


class EncodedTable(Struct, frozen=True, array_like=True):
    """Stored form of the table."""

    version: int
    rows: tuple[ShardRow, ...]


class ShardTable:
    """Owners of all shards at one version; immutable.

    Parameters
    ----------
    version : int
        Increases with each write.
    rows : mapping of int to ShardRow
        Rows by shard number; a shard that never had an owner has none.
    """

    __slots__ = ("version", "rows", "_by_owner")

    def __init__(
        self, version: int = 0, rows: Mapping[int, ShardRow] | None = None
    ) -> None:
        self.version = version
        self.rows: Mapping[int, ShardRow] = rows or {}
        self._by_owner: dict[ProcessId, list[ShardRow]] | None = None

    @classmethod
    def from_bytes(cls, data: bytes) -> "ShardTable":
        """Decode a stored table.

        Raises
        ------
        msgspec.DecodeError
            If `data` is not an encoded table.
        """
        encoded = msgspec.msgpack.decode(data, type=EncodedTable)
        return cls(encoded.version, {row.shard: row for row in encoded.rows})

    def to_bytes(self) -> bytes:
        """Return the encoded table."""
        rows = tuple(self.rows[shard] for shard in sorted(self.rows))
        return msgspec.msgpack.encode(EncodedTable(self.version, rows))

    def epoch(self, shard: int) -> int:
        """Return the epoch of `shard`; 0 if it never had an owner."""
        row = self.rows.get(shard)
        return 0 if row is None else row.epoch

    def rows_of(self, owner: ProcessId) -> list[ShardRow]:
        """Return the rows owned by one process."""
        return self.by_owner().get(owner, [])

    def by_owner(self) -> Mapping[ProcessId, list[ShardRow]]:
        """Return the rows of each owner; grouped at the first call, then cached."""
        if self._by_owner is None:
            grouped: dict[ProcessId, list[ShardRow]] = {}
            for row in self.rows.values():
                grouped.setdefault(row.owner, []).append(row)
            self._by_owner = grouped
        return self._by_owner

    def never_owned(self, shard_count: int) -> list[int]:
        """Return the numbers of the shards that never had an owner."""
        if len(self.rows) >= shard_count:
            return []
        return [shard for shard in range(shard_count) if shard not in self.rows]

    def applicable(self, moves: Iterable[Move]) -> list[Move]:
        """Return the moves whose expected epoch is the current one."""
        return [m for m in moves if self.epoch(m.shard) == m.expected_epoch]

    def contains(self, move: Move) -> bool:
        """Return whether the shard's current row is the result of `move`."""
        row = self.rows.get(move.shard)
        return (
            row is not None
            and row.owner == move.taker
            and row.epoch == move.expected_epoch + 1
        )

    def with_moves(self, moves: Iterable[Move], wall: float) -> "ShardTable":
        """Return the next version with `moves` applied.

        Parameters
        ----------
        moves : iterable of Move
            Changes of owner; their expected epochs are not checked.
        wall : float
            Time of the write, in seconds since the Unix epoch.
        """
        version = self.version + 1
        rows = dict(self.rows)
        for move in moves:
            rows[move.shard] = ShardRow(
                shard=move.shard,
                vm_id=move.taker.vm_id,
                incarnation=move.taker.incarnation,
                epoch=move.expected_epoch + 1,
                clean=move.clean,
                since=wall,
                version=version,
            )
        return ShardTable(version, rows)

    def changed_after(self, version: int) -> tuple[ShardRow, ...]:
        """Return the rows written after `version`."""
        return tuple(row for row in self.rows.values() if row.version > version)

    def with_rows(self, version: int, rows: Iterable[ShardRow]) -> "ShardTable":
        """Return the table at a later `version` in which `rows` changed."""
        return ShardTable(version, {**self.rows, **{row.shard: row for row in rows}})
