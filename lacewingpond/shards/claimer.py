"""Gives free shards, and those of VMs that are gone, to live VMs in one write."""

from collections.abc import Iterable

from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.absences import Absences
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableSpread
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import (
    ShardOffer,
    ShardOfferAnswer,
    ShardTakeoverAnswer,
    ShardTakeoverNotice,
)
from lacewingpond.shards.move import Move
from lacewingpond.shards.offers import FreeShard, Offers
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import claimer_rank
from lacewingpond.shards.table import ShardTable
from lacewingpond.shards.table_store import TableStore
from lacewingpond.shards.validity import Trust
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class Claimer:
    """Acts on the few VMs that rendezvous hashing names, one after the other.

    Parameters
    ----------
    options : ShardOptions
        Waits.
    local, trust, tables, spread : LocalShards, Trust, TableStore, TableSpread
        The pieces of the shard manager.
    fleet : FleetView
        Live VMs.
    channel : PeerChannel
        Carries offers and notices.
    clock, log : Clock, DecisionLog
        Time, and a line for each take-over.
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
        "_log",
        "_absences",
        "_wanted_since",
        "_started_at",
        "_check_at",
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
        self._log = log
        self._absences = Absences(options.takeover_wait_s)
        self._wanted_since: float | None = None
        self._started_at = clock.now()
        self._check_at = float("-inf")
        channel.register(ShardOffer, self._on_offer)
        channel.register(ShardTakeoverNotice, self._on_notice)

    def step(self) -> None:
        """Claim what is free, if it is this VM's turn."""
        free = self._free()
        missing = self._missing_owners()
        if not free and not missing:
            self._wanted_since = None
            self._absences.clear()
            return
        if not self._is_turn():
            return
        gone = self._confirmed(missing)
        if free or gone:
            self._claim(gone)

    def _free(self) -> list[int]:
        now = self._clock.now()
        if now - self._started_at < self._options.settle_s:
            return []
        return self._local.table.free(self._options.shard_count)

    def _missing_owners(self) -> dict[str, int]:
        """Return the owners that seem to be gone and their newest row versions."""
        missing: dict[str, int] = {}
        for owner, rows in self._local.table.by_owner().items():
            vm_id = owner.vm_id
            if vm_id == self._local.me.vm_id or self._fleet.is_listed(vm_id):
                continue
            newest = max(row.version for row in rows)
            missing[vm_id] = max(missing.get(vm_id, 0), newest)
        return missing

    def _is_turn(self) -> bool:
        now = self._clock.now()
        if self._wanted_since is None:
            self._wanted_since = now
        others = self._fleet.live_ids()
        rank = claimer_rank(self._local.me.vm_id, others, self._options.region)
        if rank >= self._options.claimers:
            return False
        return now - self._wanted_since >= rank * self._options.claimer_stagger_s

    def _confirmed(self, missing: dict[str, int]) -> list[str]:
        now = self._clock.now()
        if not missing or now < self._check_at:
            return []
        self._check_at = now + self._options.list_check_s
        listed = self._trust.read_list()
        if listed is None or not self._trust.holds():
            return []
        gone = self._absences.observe(listed, missing, now)
        return [vm_id for vm_id in gone if self._is_gone(vm_id)]

    def _is_gone(self, vm_id: str) -> bool:
        """Tell the owner, if it can be heard; it may still find itself listed."""
        timeout_s = self._options.call_timeout_s
        result = self._channel.call(vm_id, ShardTakeoverNotice(), timeout_s)
        answer = result.ok_value if isinstance(result, Ok) else None
        return not (isinstance(answer, ShardTakeoverAnswer) and answer.listed)

    def _claim(self, gone: list[str]) -> None:
        fresh = self._local.read_fresh()
        if not isinstance(fresh, Ok):
            # Gives VMs that hold states time to write once the store is back.
            self._absences.clear()
            self._restore_older()
            return
        stored = fresh.ok_value
        moves = self._moves(stored.table, gone)
        if not moves or not self._trust.holds():
            return
        written = self._tables.write(stored, moves)
        if not isinstance(written, Ok):
            return
        before = self._local.table.version
        self._local.learn(written.ok_value)
        self._spread.push(before, {move.taker.vm_id for move in moves})
        for move in moves:
            self._log.decision(
                "shard-claimed",
                str(move.shard),
                "free or handed over" if move.clean else "its owner is gone",
                taker=move.taker.vm_id,
            )

    def _moves(self, table: ShardTable, gone: list[str]) -> list[Move]:
        wanted = [FreeShard(shard, 0, "") for shard in self._free()]
        wanted += [
            FreeShard(row.shard, row.epoch, row.vm_id)
            for row in table.rows.values()
            if row.vm_id in gone
        ]
        offers = Offers(self._local.me, self._channel, self._options.call_timeout_s)
        ids = {self._local.me.vm_id, *self._reachable()}
        moves = [offers.move(shard, ids, self._local.notes.whole()) for shard in wanted]
        return table.fitting(moves)

    def _reachable(self) -> Iterable[str]:
        ids = self._fleet.live_ids()
        return (vm_id for vm_id in ids if self._fleet.is_reachable(vm_id))

    def _restore_older(self) -> None:
        """Write the newest known table over an older one that the store came back with.

        Nothing is written when the read failed for another reason.
        """
        found = self._tables.read()
        if not isinstance(found, Ok):
            return
        stored = found.ok_value
        if stored.table.version >= self._local.table.version:
            return
        table = self._local.table.moved([], self._clock.wall())
        written = self._tables.put(table, stored.revision, [])
        if isinstance(written, Ok):
            self._local.learn(table)
            self._log.decision("shard-table-restored", "store", "it came back older")

    def _on_offer(self, sender: str, message: ShardOffer) -> ShardOfferAnswer:
        accepted = self._trust.holds() and not self._local.stopping
        held = self._local.notes.whole()
        return ShardOfferAnswer(accepted, self._local.me.incarnation, held)

    def _on_notice(
        self, sender: str, message: ShardTakeoverNotice
    ) -> ShardTakeoverAnswer:
        listed = self._trust.check_listed()
        if not listed:
            self._trust.note_missing()
        return ShardTakeoverAnswer(listed)
