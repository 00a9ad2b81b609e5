"""Naive variant of shard ownership: leases that are renewed in the store.

Each process renews its lease by a write and owns its shards as of the last renewal.
Any process immediately takes over the shards of a process whose lease has expired by
its own clock.
"""

import msgspec
from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import Ownership, ShardComponent
from lacewingpond.shards.handover import HandoverReport
from lacewingpond.shards.move import Move
from lacewingpond.shards.preferred_owners import preferred_owner
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
    """Stored lease of a process.

    Parameters
    ----------
    incarnation : str
        Incarnation of the process.
    renewed_at : float
        When the process last renewed, by its own clock, in seconds.
    """

    incarnation: str
    renewed_at: float


class LeaseShards:
    """Shards of one process, owned under its lease.

    Parameters
    ----------
    shard_count : int
        Number of shards.
    process : ProcessId
        This process.
    store : Store
        Holds the table and the leases.
    channel : PeerChannel
        Unused.
    clock : Clock
        Clock that leases are measured with.
    component : ShardComponent
        Component that keeps state for the shards.

    Attributes
    ----------
    store_calls, store_writes : int
        Number of all calls to the store, and of the writes among them.
    """

    __slots__ = (
        "store_writes",
        "store_calls",
        "_shard_count",
        "_process",
        "_store",
        "_tables",
        "_clock",
        "_component",
        "_table",
        "_active",
        "_revision",
        "_renew_at",
        "_settled_at",
        "_lease_held",
    )

    def __init__(
        self,
        shard_count: int,
        process: ProcessId,
        store: Store,
        channel: PeerChannel,
        clock: Clock,
        component: ShardComponent,
    ) -> None:
        self.store_writes = 0
        self.store_calls = 0
        self._shard_count = shard_count
        self._process = process
        self._store = store
        self._tables = TableStore(store, "", clock)
        self._clock = clock
        self._component = component
        self._table = ShardTable()
        self._active: dict[int, Ownership] = {}
        self._revision = 0
        self._renew_at = clock.now()
        self._settled_at = clock.now() + SETTLE_S
        self._lease_held = False

    def tick(self) -> None:
        """Do nothing; each step checks the lease."""

    def step(self) -> None:
        """Renew the lease, then take over shards without an owner or a live lease."""
        if self._clock.now() < self._renew_at:
            return
        self._renew_at = self._clock.now() + RENEW_S
        self._lease_held = self._renew()
        self.store_calls += 2
        stored = self._tables.read()
        leases = self._store.scan(LEASE_PREFIX)
        if (
            not self._lease_held
            or not isinstance(stored, Ok)
            or not isinstance(leases, Ok)
        ):
            return
        self._table = stored.ok_value.table
        live_vm_ids = self._live_vm_ids(leases.ok_value)
        moves = self._wanted_moves(live_vm_ids)
        if moves and self._clock.now() >= self._settled_at:
            self.store_calls += 1
            self.store_writes += 1
            written = self._tables.write(stored.ok_value, moves)
            self._table = written.ok_value if isinstance(written, Ok) else self._table
        self._sync()

    def active_ownership(self, shard: int) -> Ownership | None:
        """Return the ownership as of the last renewal, or None."""
        return self._active.get(shard) if self._lease_held else None

    def active_shards(self) -> tuple[int, ...]:
        """Return the shards owned as of the last renewal."""
        return tuple(self._active) if self._lease_held else ()

    def hand_over_all(self, grace_s: float) -> HandoverReport:
        """Release all shards and report them as not handed over.

        The next owners wait until the lease expires.
        """
        count = len(self._active)
        for shard in list(self._active):
            self._component.release(shard)
        self._active.clear()
        return HandoverReport(0, 0, count)

    def _renew(self) -> bool:
        self.store_calls += 1
        self.store_writes += 1
        record = LeaseRecord(self._process.incarnation, self._clock.now())
        key = f"{LEASE_PREFIX}{self._process.vm_id}"
        data = msgspec.msgpack.encode(record)
        result = self._store.put_if(key, data, self._revision)
        if isinstance(result, Ok):
            self._revision = result.ok_value
            return True
        found = self._store.get(key)
        if isinstance(found, Ok) and found.ok_value is not None:
            self._revision = found.ok_value.revision
        return False

    def _live_vm_ids(self, entries: tuple) -> list[str]:
        now = self._clock.now()
        return [
            entry.key.removeprefix(LEASE_PREFIX)
            for entry in entries
            if now - msgspec.msgpack.decode(entry.value, type=LeaseRecord).renewed_at
            < LEASE_S
        ]

    def _wanted_moves(self, live_vm_ids: list[str]) -> list[Move]:
        moves = []
        for shard in range(self._shard_count):
            row = self._table.rows.get(shard)
            is_free = row is None or row.vm_id not in live_vm_ids
            is_own = row is not None and row.vm_id == self._process.vm_id
            is_of_older_incarnation = is_own and row.owner != self._process
            if is_of_older_incarnation or (
                is_free and preferred_owner(shard, live_vm_ids) == self._process.vm_id
            ):
                moves.append(
                    Move(shard, self._table.epoch(shard), self._process, False)
                )
        return moves

    def _sync(self) -> None:
        rows = {row.shard: row for row in self._table.rows_of(self._process)}
        for shard in [s for s in self._active if s not in rows]:
            del self._active[shard]
            self._component.release(shard)
        for shard, row in rows.items():
            if shard not in self._active:
                self._active[shard] = row.to_ownership()
                self._component.acquire(self._active[shard], None)
