"""The simpler way to own shards: leases that are renewed in the store.

Each process renews its lease by a write and asks its own clock whether it still
holds; any process takes the shards of one whose lease seems to have lapsed, at once.
"""

import msgspec
from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import Ownership, ShardPart
from lacewingpond.shards.handover import HandOverReport
from lacewingpond.shards.move import Move
from lacewingpond.shards.placement import preferred_owner
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.table import ShardTable
from lacewingpond.shards.table_store import TableStore
from lacewingpond.store.base import Store
from lacewingpond.util.clock import Clock

LEASE_S = 6.0
RENEW_S = 2.0
SETTLE_S = 5.0
LEASE_PREFIX = "lease/"


class LeaseRecord(Struct, frozen=True):
    """When a process last renewed, by its own clock."""

    incarnation: str
    renewed_at: float


class LeaseShards:
    """Shards of one process by renewed leases.

    Parameters
    ----------
    shard_count : int
        Number of shards.
    process : ProcessId
        This process.
    store : Store
        Keeps the table and the leases.
    channel : PeerChannel
        Not used.
    clock : Clock
        Times the leases.
    part : ShardPart
        Keeps state for the shards.
    """

    __slots__ = (
        "store_writes",
        "store_calls",
        "_shard_count",
        "_me",
        "_store",
        "_tables",
        "_clock",
        "_part",
        "_table",
        "_acting",
        "_revision",
        "_renew_at",
        "_settled_at",
        "_holds",
    )

    def __init__(
        self,
        shard_count: int,
        process: ProcessId,
        store: Store,
        channel: PeerChannel,
        clock: Clock,
        part: ShardPart,
    ) -> None:
        self.store_writes = 0
        self.store_calls = 0
        self._shard_count = shard_count
        self._me = process
        self._store = store
        self._tables = TableStore(store, "", clock)
        self._clock = clock
        self._part = part
        self._table = ShardTable()
        self._acting: dict[int, Ownership] = {}
        self._revision = 0
        self._renew_at = clock.now()
        self._settled_at = clock.now() + SETTLE_S
        self._holds = False

    def tick(self) -> None:
        """Do nothing; the lease is looked at in each step."""

    def step(self) -> None:
        """Renew the lease, then take what is free or seems to have lapsed."""
        if self._clock.now() < self._renew_at:
            return
        self._renew_at = self._clock.now() + RENEW_S
        self._holds = self._renew()
        self.store_calls += 2
        stored = self._tables.read()
        leases = self._store.scan(LEASE_PREFIX)
        if not self._holds or not isinstance(stored, Ok) or not isinstance(leases, Ok):
            return
        self._table = stored.ok_value.table
        live = self._live(leases.ok_value)
        moves = self._moves(live)
        if moves and self._clock.now() >= self._settled_at:
            self.store_calls += 1
            self.store_writes += 1
            written = self._tables.write(stored.ok_value, moves)
            self._table = written.ok_value if isinstance(written, Ok) else self._table
        self._sync()

    def owned(self, shard: int) -> Ownership | None:
        """Return the ownership as of the last renewal."""
        return self._acting.get(shard) if self._holds else None

    def owned_shards(self) -> tuple[int, ...]:
        """Return the shards owned as of the last renewal."""
        return tuple(self._acting) if self._holds else ()

    def hand_over_all(self, grace_s: float) -> HandOverReport:
        """Drop all shards; the next owner waits for the lease to lapse."""
        count = len(self._acting)
        for shard in list(self._acting):
            self._part.release(shard)
        self._acting.clear()
        return HandOverReport(0, 0, count)

    def _renew(self) -> bool:
        self.store_calls += 1
        self.store_writes += 1
        record = LeaseRecord(self._me.incarnation, self._clock.now())
        key = f"{LEASE_PREFIX}{self._me.vm_id}"
        data = msgspec.msgpack.encode(record)
        result = self._store.put_if(key, data, self._revision)
        if isinstance(result, Ok):
            self._revision = result.ok_value
            return True
        found = self._store.get(key)
        if isinstance(found, Ok) and found.ok_value is not None:
            self._revision = found.ok_value.revision
        return False

    def _live(self, entries: tuple) -> list[str]:
        now = self._clock.now()
        return [
            entry.key.removeprefix(LEASE_PREFIX)
            for entry in entries
            if now - msgspec.msgpack.decode(entry.value, type=LeaseRecord).renewed_at
            < LEASE_S
        ]

    def _moves(self, live: list[str]) -> list[Move]:
        moves = []
        for shard in range(self._shard_count):
            row = self._table.rows.get(shard)
            lapsed = row is None or row.vm_id not in live
            mine = row is not None and row.vm_id == self._me.vm_id
            stale = mine and row.owner != self._me
            if stale or (lapsed and preferred_owner(shard, live) == self._me.vm_id):
                moves.append(Move(shard, self._table.epoch(shard), self._me, False))
        return moves

    def _sync(self) -> None:
        rows = {row.shard: row for row in self._table.of(self._me)}
        for shard in [s for s in self._acting if s not in rows]:
            del self._acting[shard]
            self._part.release(shard)
        for shard, row in rows.items():
            if shard not in self._acting:
                self._acting[shard] = row.to_ownership()
                self._part.adopt(self._acting[shard], None)
