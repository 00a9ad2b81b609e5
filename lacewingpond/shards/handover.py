"""Hands shards over: stop acting, send the state, write the table once."""

import random

from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.book import ShardBook
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.messages import ShardNote, ShardNoteAck
from lacewingpond.shards.move import Move
from lacewingpond.shards.notes import HeldNote, encode_states
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import takers
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.spread import TableSpread
from lacewingpond.shards.table_store import TableStore
from lacewingpond.shards.trust import Trust
from lacewingpond.store.base import StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

TAKERS_ASKED = 16
"""Enough to find one that stays when a whole failure domain stops at once."""
WRITE_ATTEMPTS = 5
STOP_WRITE_ATTEMPTS = 20
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
    book, trust, tables, spread : ShardBook, Trust, TableStore, TableSpread
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
        "_book",
        "_trust",
        "_tables",
        "_spread",
        "_fleet",
        "_channel",
        "_clock",
        "_rng",
        "_log",
    )

    def __init__(
        self,
        options: ShardOptions,
        book: ShardBook,
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
        self._book = book
        self._trust = trust
        self._tables = tables
        self._spread = spread
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        channel.register(ShardNote, self._on_note)

    def is_store_away(self) -> bool:
        """Read the table; return whether that failed."""
        return not isinstance(self._book.read_fresh(), Ok)

    def run(self, shards: list[int], home_only: bool = False) -> HandOverReport:
        """Release `shards`, send their states and write the table.

        Parameters
        ----------
        shards : list of int
            Shards that this process acts for.
        home_only : bool
            Ask only the VM where a shard belongs.
        """
        asked = 1 if home_only else TAKERS_ASKED
        moves = [move for shard in shards if (move := self._send(shard, asked))]
        moved = self._write(moves)
        sent = 0 if moved else len(moves)
        return HandOverReport(moved, sent, len(shards) - len(moves))

    def resolve(self) -> None:
        """Write this process into the table for states that wait too long."""
        now = self._clock.now()
        waiting = self._book.notes.waiting(now, self._options.note_patience_s)
        if not waiting:
            return
        for note in waiting:
            note.retry_at = now
        fresh = self._book.read_fresh()
        if not isinstance(fresh, Ok):
            return
        stored = fresh.ok_value
        moves = [move for note in waiting if (move := self._own_move(note))]
        if not moves or not self._trust.holds():
            return
        written = self._tables.write(stored, moves)
        if isinstance(written, Ok):
            before = self._book.table.version
            self._book.learn(written.ok_value)
            self._spread.push(before)

    def _own_move(self, note: HeldNote) -> Move | None:
        row = self._book.table.rows.get(note.shard)
        if row is not None and row.epoch == note.epoch and row.vm_id == note.sender:
            return Move(note.shard, note.epoch, self._book.me, True)
        adopted_later = row is not None and row.owner == self._book.me
        if not adopted_later:
            self._book.notes.drop(note.shard)
        return None

    def _send(self, shard: int, asked: int) -> Move | None:
        # The shard may have been lost during the calls for the ones before it.
        if shard not in self._book.acting or not self._trust.holds():
            return None
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        epoch = self._book.acting[shard].epoch
        data = encode_states(self._book.release(shard))
        for vm_id in takers(shard, ids, asked):
            taker = self._send_to(vm_id, shard, epoch, data)
            if taker is not None:
                self._log.decision("shard-sent", str(shard), "leaving", taker=vm_id)
                return Move(shard, epoch, taker, True)
        self._log.decision("shard-left", str(shard), "no VM takes it")
        return None if self._book.stopping else self._keep(shard, epoch, data)

    def _keep(self, shard: int, epoch: int, data: bytes) -> Move:
        """Hand a released shard over to this process itself, in a new epoch."""
        me = self._book.me
        note = ShardNote(shard, epoch, 0, 1, data)
        self._book.notes.add(me.vm_id, note, self._clock.now())
        return Move(shard, epoch, me, True)

    def _send_to(
        self, vm_id: str, shard: int, epoch: int, data: bytes
    ) -> ProcessId | None:
        size = self._options.chunk_bytes
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        taker = None
        for number, piece in enumerate(pieces):
            note = ShardNote(shard, epoch, number, len(pieces), piece)
            result = self._channel.call(vm_id, note, self._options.call_timeout_s)
            answer = result.ok_value if isinstance(result, Ok) else None
            if not isinstance(answer, ShardNoteAck) or not answer.accepted:
                return None
            taker = ProcessId(vm_id, answer.incarnation)
        return taker

    def _write(self, moves: list[Move]) -> int:
        stopping = self._book.stopping
        for attempt in range(STOP_WRITE_ATTEMPTS if stopping else WRITE_ATTEMPTS):
            if stopping and attempt:
                longest_s = attempt * CONFLICT_PAUSE_S
                self._clock.sleep(self._rng.uniform(0.0, longest_s))
            fresh = self._book.read_fresh()
            if not isinstance(fresh, Ok):
                return 0
            stored = fresh.ok_value
            fitting = stored.table.fitting(moves)
            if not fitting:
                return sum(stored.table.has(move) for move in moves)
            written = self._tables.write(stored, fitting)
            if isinstance(written, Ok):
                before = stored.table.version
                self._book.learn(written.ok_value)
                self._spread.push(before, {move.taker.vm_id for move in fitting})
                return len(fitting)
            if written.err_value.failure is StoreFailure.UNAVAILABLE:
                return 0
        return 0

    def _on_note(self, sender: str, message: ShardNote) -> ShardNoteAck:
        accepted = not self._book.stopping and self._trust.holds()
        if accepted:
            now = self._clock.now()
            accepted = self._book.notes.add(sender, message, now)
        return ShardNoteAck(accepted, self._book.me.incarnation)
