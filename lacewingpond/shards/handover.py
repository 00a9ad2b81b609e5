"""Handover of shards: release them, send their states, write the table once."""

import random

from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableGossip
from lacewingpond.shards.held_states import HeldState, encode_states
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import ShardNotes, ShardNotesAck, StateChunk
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.preferred_owners import preferred_owners
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.released import ReleasedShard, batch_chunks
from lacewingpond.shards.table_store import StoredTable, TableStore
from lacewingpond.shards.validity import OwnershipValidity
from lacewingpond.store.base import StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_CANDIDATES = 16
"""VMs asked per shard; enough to find a running one while a whole failure domain
stops at once."""
MAX_WRITES = 5
"""Table writes tried for one handover."""
MAX_STOP_WRITES = 20
"""Table writes tried for the handover at a stop."""
CONFLICT_BACKOFF_S = 0.02
"""Maximum pause after the first write conflict; it grows linearly with the attempts."""


class HandoverReport(Struct, frozen=True):
    """Outcome of handing over the shards of a process.

    Parameters
    ----------
    moved : int
        Shards that the table assigns to their new owners.
    sent : int
        Shards sent to new owners that will write the table once the store is
        available again.
    left : int
        Shards that the table still assigns to this process.
    """

    moved: int
    sent: int
    left: int


class Handover:
    """Sending and receiving side of a handover.

    A state is sent only after this process has released the shard, permanently in that
    epoch. The receiver may therefore write itself into the table at any later time:
    if another process has done so, the compare-and-swap fails.

    Parameters
    ----------
    options : ShardOptions
        Limits and intervals.
    local : LocalShards
        The table and the shards of this process.
    validity : OwnershipValidity
        Whether this process may act as an owner.
    tables, gossip : TableStore, TableGossip
        The stored table, and its distribution.
    fleet : FleetView
        Live VMs.
    channel : PeerChannel
        Carries the states.
    clock, rng : Clock, random.Random
        Time, and jitter of the attempts.
    log : DecisionLog
        Gets an entry for each shard sent or not accepted.
    """

    __slots__ = (
        "_options",
        "_local",
        "_validity",
        "_tables",
        "_gossip",
        "_fleet",
        "_channel",
        "_clock",
        "_rng",
        "_log",
        "_last_read",
    )

    def __init__(
        self,
        options: ShardOptions,
        local: LocalShards,
        validity: OwnershipValidity,
        tables: TableStore,
        gossip: TableGossip,
        fleet: FleetView,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._options = options
        self._local = local
        self._validity = validity
        self._tables = tables
        self._gossip = gossip
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._last_read: StoredTable | None = None
        channel.register(ShardNotes, self._on_chunks)

    def is_store_unavailable(self) -> bool:
        """Read the table and return whether that failed.

        The table read is kept for the next write.
        """
        read = self._local.refresh()
        self._last_read = read.ok()
        return self._last_read is None

    def hand_over(
        self, shards: list[int], preferred_only: bool = False
    ) -> HandoverReport:
        """Release `shards`, send their states and write the table.

        Parameters
        ----------
        shards : list of int
            Shards to hand over; those that are not active here are skipped.
        preferred_only : bool
            Whether to ask only the preferred owner of each shard.

        Returns
        -------
        HandoverReport
            Where the shards went.
        """
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        candidates = 1 if preferred_only else MAX_CANDIDATES
        released = [
            self._release(shard, preferred_owners(shard, ids, candidates))
            for shard in shards
            if shard in self._local.active and self._validity.is_valid()
        ]
        moves = self._send_all(released)
        moved = self._write(moves)
        sent = 0 if moved else len(moves)
        return HandoverReport(moved, sent, len(shards) - len(moves))

    def complete_overdue(self) -> None:
        """Take over shards whose received states have waited too long for the table.

        The sender should have written the table but did not, for example because the
        store was unavailable to it.
        """
        now = self._clock.now()
        overdue = self._local.held_states.overdue(now, self._options.note_patience_s)
        if not overdue:
            return
        for held in overdue:
            held.retry_at = now
        read = self._local.refresh()
        if not isinstance(read, Ok):
            return
        stored = read.ok_value
        moves = [move for held in overdue if (move := self._move_to_self(held))]
        if not moves or not self._validity.is_valid():
            return
        written = self._tables.write(stored, moves)
        if isinstance(written, Ok):
            before = self._local.table.version
            self._local.update(written.ok_value)
            self._gossip.push(before)

    def _move_to_self(self, held: HeldState) -> Move | None:
        row = self._local.table.rows.get(held.shard)
        if row is not None and row.epoch == held.epoch and row.vm_id == held.sender:
            return Move(held.shard, held.epoch, self._local.process, True)
        assigned_here = row is not None and row.owner == self._local.process
        if not assigned_here:
            self._local.held_states.discard(held.shard)
        return None

    def _release(self, shard: int, vm_ids: list[str]) -> ReleasedShard:
        epoch = self._local.active[shard].epoch
        data = encode_states(self._local.release(shard))
        return ReleasedShard(shard, epoch, data, tuple(vm_ids))

    def _send_all(self, released: list[ReleasedShard]) -> list[Move]:
        """Send each state to the most preferred candidate that accepts it."""
        moves: list[Move] = []
        waiting = released
        while waiting:
            by_candidate: dict[str | None, list[ReleasedShard]] = {}
            for item in waiting:
                by_candidate.setdefault(item.next_candidate, []).append(item)
            waiting = []
            for vm_id, items in by_candidate.items():
                if vm_id is None:
                    moves += self._handle_unaccepted(items)
                    continue
                new_owner = self._send_to(vm_id, items)
                if new_owner is None:
                    waiting += [item.without_next_candidate() for item in items]
                    continue
                moves += [Move(i.shard, i.epoch, new_owner, True) for i in items]
        return moves

    def _handle_unaccepted(self, items: list[ReleasedShard]) -> list[Move]:
        for item in items:
            self._log.decision("shard-left", str(item.shard), "no VM accepts the shard")
        if self._local.stopping:
            return []
        return [self._return_to_self(item) for item in items]

    def _return_to_self(self, item: ReleasedShard) -> Move:
        """Reassign a released shard to this process, in a new epoch."""
        process = self._local.process
        chunk = StateChunk(item.shard, item.epoch, 0, 1, item.data)
        self._local.held_states.add(process.vm_id, chunk, self._clock.now())
        return Move(item.shard, item.epoch, process, True)

    def _send_to(self, vm_id: str, items: list[ReleasedShard]) -> ProcessId | None:
        size = self._options.chunk_bytes
        chunks = [chunk for item in items for chunk in item.to_chunks(size)]
        new_owner = None
        for batch in batch_chunks(chunks, size):
            message = ShardNotes(batch)
            result = self._channel.call(vm_id, message, self._options.call_timeout_s)
            response = result.ok_value if isinstance(result, Ok) else None
            if not isinstance(response, ShardNotesAck) or not response.accepted:
                return None
            new_owner = ProcessId(vm_id, response.incarnation)
        for item in items:
            self._log.decision("shard-sent", str(item.shard), "released", taker=vm_id)
        return new_owner

    def _write(self, moves: list[Move]) -> int:
        stopping = self._local.stopping
        for attempt in range(MAX_STOP_WRITES if stopping else MAX_WRITES):
            if stopping and attempt:
                max_pause_s = attempt * CONFLICT_BACKOFF_S
                self._clock.sleep(self._rng.uniform(0.0, max_pause_s))
            # A table read before the release may be reused: if it is out of date,
            # the compare-and-swap fails.
            stored, self._last_read = self._last_read, None
            stored = stored or self._local.refresh().ok()
            if stored is None:
                return 0
            applicable = stored.table.applicable(moves)
            if not applicable:
                return sum(stored.table.contains(move) for move in moves)
            written = self._tables.write(stored, applicable)
            if isinstance(written, Ok):
                before = stored.table.version
                self._local.update(written.ok_value)
                self._gossip.push(before, {move.taker.vm_id for move in applicable})
                return len(applicable)
            if written.err_value.failure is StoreFailure.UNAVAILABLE:
                return 0
        return 0

    def _on_chunks(self, sender: str, message: ShardNotes) -> ShardNotesAck:
        accepted = not self._local.stopping and self._validity.is_valid()
        now = self._clock.now()
        for chunk in message.chunks:
            accepted = accepted and self._local.held_states.add(sender, chunk, now)
        return ShardNotesAck(accepted, self._local.process.incarnation)
