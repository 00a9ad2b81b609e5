"""Hands shards over: stop acting, send the state, write the table once."""

import random

from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableSpread
from lacewingpond.shards.held_states import HeldNote, encode_states
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import ShardNote, ShardNotes, ShardNotesAck
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import takers
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.released import ReleasedShard, batches
from lacewingpond.shards.table_store import StoredTable, TableStore
from lacewingpond.shards.validity import Trust
from lacewingpond.store.base import StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

TAKERS_ASKED = 16
"""Most VMs asked; finds one that stays when a failure domain stops at once."""
WRITE_ATTEMPTS = 5
"""Most writes of the table for one hand-over."""
STOP_WRITE_ATTEMPTS = 20
"""Most writes of the table while the process stops."""
CONFLICT_PAUSE_S = 0.02
"""Longest pause after the first conflict; it grows with each further one."""


class HandOverReport(Struct, frozen=True):
    """What became of the shards of a leaving process.

    Parameters
    ----------
    moved : int
        Written to the table in the name of their takers.
    sent : int
        Sent to their takers, who write the table when the store is back.
    left : int
        Still in the name of this process.
    """

    moved: int
    sent: int
    left: int


class HandOver:
    """Both sides of a hand-over.

    A state is sent only after this process has stopped acting in that epoch for
    good. Its receiver may therefore write itself into the table at any later time,
    as the compare-and-swap fails if anybody else has.

    Parameters
    ----------
    options : ShardOptions
        Bounds and waits.
    local, trust, tables, spread : LocalShards, Trust, TableStore, TableSpread
        The pieces of the shard manager.
    fleet : FleetView
        Live VMs.
    channel : PeerChannel
        Carries the states.
    clock, rng, log : Clock, random.Random, DecisionLog
        Time, spread of the attempts, and a line for each hand-over.
    """

    __slots__ = (
        "_options",
        "_local",
        "_trust",
        "_tables",
        "_spread",
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
        trust: Trust,
        tables: TableStore,
        spread: TableSpread,
        fleet: FleetView,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._options = options
        self._local = local
        self._trust = trust
        self._tables = tables
        self._spread = spread
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._last_read: StoredTable | None = None
        channel.register(ShardNotes, self._on_notes)

    def is_store_away(self) -> bool:
        """Read the table; return whether that failed."""
        fresh = self._local.read_fresh()
        self._last_read = fresh.ok()
        return self._last_read is None

    def run(self, shards: list[int], preferred_only: bool = False) -> HandOverReport:
        """Release `shards`, send their states and write the table.

        Parameters
        ----------
        shards : list of int
            Shards that this process acts for.
        preferred_only : bool
            Ask only the preferred owner of a shard.
        """
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        asked = 1 if preferred_only else TAKERS_ASKED
        released = [
            self._release(shard, takers(shard, ids, asked))
            for shard in shards
            if shard in self._local.acting and self._trust.holds()
        ]
        moves = self._send_all(released)
        moved = self._write(moves)
        sent = 0 if moved else len(moves)
        return HandOverReport(moved, sent, len(shards) - len(moves))

    def resolve(self) -> None:
        """Write this process into the table for states that wait too long."""
        now = self._clock.now()
        waiting = self._local.notes.waiting(now, self._options.note_patience_s)
        if not waiting:
            return
        for note in waiting:
            note.retry_at = now
        fresh = self._local.read_fresh()
        if not isinstance(fresh, Ok):
            return
        stored = fresh.ok_value
        moves = [move for note in waiting if (move := self._own_move(note))]
        if not moves or not self._trust.holds():
            return
        written = self._tables.write(stored, moves)
        if isinstance(written, Ok):
            before = self._local.table.version
            self._local.learn(written.ok_value)
            self._spread.push(before)

    def _own_move(self, note: HeldNote) -> Move | None:
        row = self._local.table.rows.get(note.shard)
        if row is not None and row.epoch == note.epoch and row.vm_id == note.sender:
            return Move(note.shard, note.epoch, self._local.me, True)
        adopted_later = row is not None and row.owner == self._local.me
        if not adopted_later:
            self._local.notes.drop(note.shard)
        return None

    def _release(self, shard: int, vm_ids: list[str]) -> ReleasedShard:
        epoch = self._local.acting[shard].epoch
        data = encode_states(self._local.release(shard))
        return ReleasedShard(shard, epoch, data, tuple(vm_ids))

    def _send_all(self, released: list[ReleasedShard]) -> list[Move]:
        """Send each state to the best taker that accepts it."""
        moves: list[Move] = []
        waiting = released
        while waiting:
            by_taker: dict[str | None, list[ReleasedShard]] = {}
            for item in waiting:
                by_taker.setdefault(item.best_taker, []).append(item)
            waiting = []
            for vm_id, items in by_taker.items():
                if vm_id is None:
                    moves += self._untaken(items)
                    continue
                taker = self._send_to(vm_id, items)
                if taker is None:
                    waiting += [item.without_best_taker() for item in items]
                    continue
                moves += [Move(i.shard, i.epoch, taker, True) for i in items]
        return moves

    def _untaken(self, items: list[ReleasedShard]) -> list[Move]:
        for item in items:
            self._log.decision("shard-left", str(item.shard), "no VM takes it")
        if self._local.stopping:
            return []
        return [self._keep(item) for item in items]

    def _keep(self, item: ReleasedShard) -> Move:
        """Hand a released shard over to this process itself, in a new epoch."""
        me = self._local.me
        note = ShardNote(item.shard, item.epoch, 0, 1, item.data)
        self._local.notes.add(me.vm_id, note, self._clock.now())
        return Move(item.shard, item.epoch, me, True)

    def _send_to(self, vm_id: str, items: list[ReleasedShard]) -> ProcessId | None:
        size = self._options.chunk_bytes
        notes = [note for item in items for note in item.to_notes(size)]
        taker = None
        for batch in batches(notes, size):
            message = ShardNotes(batch)
            result = self._channel.call(vm_id, message, self._options.call_timeout_s)
            answer = result.ok_value if isinstance(result, Ok) else None
            if not isinstance(answer, ShardNotesAck) or not answer.accepted:
                return None
            taker = ProcessId(vm_id, answer.incarnation)
        for item in items:
            self._log.decision("shard-sent", str(item.shard), "released", taker=vm_id)
        return taker

    def _write(self, moves: list[Move]) -> int:
        stopping = self._local.stopping
        for attempt in range(STOP_WRITE_ATTEMPTS if stopping else WRITE_ATTEMPTS):
            if stopping and attempt:
                longest_s = attempt * CONFLICT_PAUSE_S
                self._clock.sleep(self._rng.uniform(0.0, longest_s))
            # What was read before the release will do; the write tells if not.
            stored, self._last_read = self._last_read, None
            stored = stored or self._local.read_fresh().ok()
            if stored is None:
                return 0
            fitting = stored.table.fitting(moves)
            if not fitting:
                return sum(stored.table.has(move) for move in moves)
            written = self._tables.write(stored, fitting)
            if isinstance(written, Ok):
                before = stored.table.version
                self._local.learn(written.ok_value)
                self._spread.push(before, {move.taker.vm_id for move in fitting})
                return len(fitting)
            if written.err_value.failure is StoreFailure.UNAVAILABLE:
                return 0
        return 0

    def _on_notes(self, sender: str, message: ShardNotes) -> ShardNotesAck:
        accepted = not self._local.stopping and self._trust.holds()
        now = self._clock.now()
        for note in message.notes:
            accepted = accepted and self._local.notes.add(sender, note, now)
        return ShardNotesAck(accepted, self._local.me.incarnation)
