"""Assigns never-owned shards and those of gone VMs to live VMs, in one write."""

from collections.abc import Iterable

from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.absences import Absences
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableGossip
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import (
    ShardOffer,
    ShardOfferAnswer,
    ShardTakeoverAnswer,
    ShardTakeoverNotice,
)
from lacewingpond.shards.move import Move
from lacewingpond.shards.offers import OfferRound, UnownedShard
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.preferred_owners import claimer_rank
from lacewingpond.shards.table import ShardTable
from lacewingpond.shards.table_store import TableStore
from lacewingpond.shards.validity import OwnershipValidity
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class Claimer:
    """Claims shards on the few VMs that rendezvous hashing ranks first.

    The claimers start one after the other, so that normally only the first one writes.

    Parameters
    ----------
    options : ShardOptions
        Intervals.
    local : LocalShards
        The table and the shards of this process.
    validity : OwnershipValidity
        Whether this process may act as an owner.
    tables, gossip : TableStore, TableGossip
        The stored table, and its distribution.
    fleet : FleetView
        Live VMs.
    channel : PeerChannel
        Carries offers and takeover notices.
    clock : Clock
        Source of time.
    log : DecisionLog
        Gets an entry for each claimed shard and for a restored table.
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
        "_log",
        "_absences",
        "_pending_since",
        "_started_at",
        "_next_check_at",
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
        self._log = log
        self._absences = Absences(options.takeover_wait_s)
        self._pending_since: float | None = None
        self._started_at = clock.now()
        self._next_check_at = float("-inf")
        channel.register(ShardOffer, self._on_offer)
        channel.register(ShardTakeoverNotice, self._on_takeover_notice)

    def step(self) -> None:
        """Claim never-owned shards and those of gone VMs, if it is this VM's turn."""
        never_owned = self._never_owned_shards()
        missing = self._missing_owners()
        if not never_owned and not missing:
            self._pending_since = None
            self._absences.clear()
            return
        if not self._is_turn():
            return
        gone = self._confirm_missing(missing)
        if never_owned or gone:
            self._claim(gone)

    def _never_owned_shards(self) -> list[int]:
        now = self._clock.now()
        if now - self._started_at < self._options.settle_s:
            return []
        return self._local.table.never_owned(self._options.shard_count)

    def _missing_owners(self) -> dict[str, int]:
        """Return the owners missing from the known VM list, with their newest rows.

        Returns
        -------
        dict of str to int
            Newest row version by VM id.
        """
        missing: dict[str, int] = {}
        for owner, rows in self._local.table.by_owner().items():
            vm_id = owner.vm_id
            if vm_id == self._local.process.vm_id or self._fleet.is_listed(vm_id):
                continue
            newest = max(row.version for row in rows)
            missing[vm_id] = max(missing.get(vm_id, 0), newest)
        return missing

    def _is_turn(self) -> bool:
        now = self._clock.now()
        if self._pending_since is None:
            self._pending_since = now
        others = self._fleet.live_ids()
        rank = claimer_rank(self._local.process.vm_id, others, self._options.region)
        if rank >= self._options.claimers:
            return False
        return now - self._pending_since >= rank * self._options.claimer_stagger_s

    def _confirm_missing(self, missing: dict[str, int]) -> list[str]:
        now = self._clock.now()
        if not missing or now < self._next_check_at:
            return []
        self._next_check_at = now + self._options.list_check_s
        listed = self._validity.read_list()
        if listed is None or not self._validity.is_valid():
            return []
        gone = self._absences.observe(listed, missing, now)
        return [vm_id for vm_id in gone if self._confirm_gone(vm_id)]

    def _confirm_gone(self, vm_id: str) -> bool:
        """Notify the owner; return False if it responds that it is listed."""
        timeout_s = self._options.call_timeout_s
        result = self._channel.call(vm_id, ShardTakeoverNotice(), timeout_s)
        response = result.ok_value if isinstance(result, Ok) else None
        return not (isinstance(response, ShardTakeoverAnswer) and response.listed)

    def _claim(self, gone: list[str]) -> None:
        read = self._local.refresh()
        if not isinstance(read, Ok):
            # Restart the wait: once the store is available again, VMs that hold the
            # state of a shard need time to write the table first.
            self._absences.clear()
            self._overwrite_older_table()
            return
        stored = read.ok_value
        moves = self._plan_moves(stored.table, gone)
        if not moves or not self._validity.is_valid():
            return
        written = self._tables.write(stored, moves)
        if not isinstance(written, Ok):
            return
        before = self._local.table.version
        self._local.update(written.ok_value)
        self._gossip.push(before, {move.taker.vm_id for move in moves})
        for move in moves:
            self._log.decision(
                "shard-claimed",
                str(move.shard),
                "free or handed over"
                if move.clean
                else "the owner is missing from the VM list",
                taker=move.taker.vm_id,
            )

    def _plan_moves(self, table: ShardTable, gone: list[str]) -> list[Move]:
        wanted = [UnownedShard(shard, 0, "") for shard in self._never_owned_shards()]
        wanted += [
            UnownedShard(row.shard, row.epoch, row.vm_id)
            for row in table.rows.values()
            if row.vm_id in gone
        ]
        offers = OfferRound(
            self._local.process, self._channel, self._options.call_timeout_s
        )
        ids = {self._local.process.vm_id, *self._reachable_ids()}
        moves = [
            offers.assign(shard, ids, self._local.held_states.complete())
            for shard in wanted
        ]
        return table.applicable(moves)

    def _reachable_ids(self) -> Iterable[str]:
        ids = self._fleet.live_ids()
        return (vm_id for vm_id in ids if self._fleet.is_reachable(vm_id))

    def _overwrite_older_table(self) -> None:
        """Replace a stored table that is older than the known one, as after a restore.

        Writes nothing if the store can't be read or holds no older table.
        """
        found = self._tables.read()
        if not isinstance(found, Ok):
            return
        stored = found.ok_value
        if stored.table.version >= self._local.table.version:
            return
        table = self._local.table.with_moves([], self._clock.wall())
        written = self._tables.put(table, stored.revision, [])
        if isinstance(written, Ok):
            self._local.update(table)
            self._log.decision(
                "shard-table-restored",
                "store",
                "the store went back to an older revision",
            )

    def _on_offer(self, sender: str, message: ShardOffer) -> ShardOfferAnswer:
        accepted = self._validity.is_valid() and not self._local.stopping
        held = self._local.held_states.complete()
        return ShardOfferAnswer(accepted, self._local.process.incarnation, held)

    def _on_takeover_notice(
        self, sender: str, message: ShardTakeoverNotice
    ) -> ShardTakeoverAnswer:
        listed = self._validity.check_listed()
        if not listed:
            self._validity.mark_delisted()
        return ShardTakeoverAnswer(listed)
