"""Claims, validates and hands over the shards of one process."""

import random
from collections.abc import Callable

import gevent
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import Ownership, ShardComponent
from lacewingpond.shards.claimer import Claimer
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableGossip
from lacewingpond.shards.handover import Handover, HandoverReport
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.rebalancer import Rebalancer
from lacewingpond.shards.row import ShardRow
from lacewingpond.shards.table_store import TableStore
from lacewingpond.shards.validity import OwnershipValidity
from lacewingpond.store.base import Store, VmList
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class ShardManager:
    """Ownership of shards by this process; implements `ShardView`.

    Create it only after the daemon has bound its VM's listening port, which proves
    that an earlier process on the VM is dead.

    Parameters
    ----------
    options : ShardOptions
        Limits and intervals.
    process : ProcessId
        This process.
    store, vm_list : Store, VmList
        The platform.
    fleet : FleetView
        The membership.
    channel : PeerChannel
        Carries states and tables.
    clock, rng : Clock, random.Random
        Time and random numbers.
    log, metrics : DecisionLog, Metrics
        Log of the decisions, and metrics.
    """

    __slots__ = (
        "_options",
        "_local",
        "_validity",
        "_claimer",
        "_handover",
        "_gossip",
        "_tables",
        "_fleet",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_started_at",
        "_refresh_at",
        "_rebalancer",
        "_greenlets",
    )

    def __init__(
        self,
        options: ShardOptions,
        process: ProcessId,
        store: Store,
        vm_list: VmList,
        fleet: FleetView,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._tables = TableStore(store, options.region, clock)
        self._local = LocalShards(options, process, self._tables, clock, log)
        self._validity = OwnershipValidity(
            options, self._local, fleet, vm_list, self._tables, clock, rng, log
        )
        self._gossip = TableGossip(
            options, self._local, self._validity, fleet, channel, rng
        )
        shared = (self._local, self._validity, self._tables, self._gossip)
        self._claimer = Claimer(options, *shared, fleet, channel, clock, log)
        self._handover = Handover(options, *shared, fleet, channel, clock, rng, log)
        self._started_at = clock.now()
        self._refresh_at = clock.now()
        self._rebalancer = Rebalancer(
            options, self._local, self._handover, fleet, clock, rng
        )
        self._greenlets: list[gevent.Greenlet] = []

    @classmethod
    def from_options(
        cls,
        options: ShardOptions,
        process: ProcessId,
        store: Store,
        vm_list: VmList,
        fleet: FleetView,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "ShardManager":
        """Return a manager that is not started yet; see the class for parameters."""
        return cls(
            options, process, store, vm_list, fleet, channel, clock, rng, log, metrics
        )

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return self._options.shard_count

    @property
    def store_calls(self) -> int:
        """Number of calls to the store and the VM list since the start."""
        return self._tables.reads + self._tables.writes + self._validity.list_reads

    @property
    def store_writes(self) -> int:
        """Number of attempted table writes since the start."""
        return self._tables.writes

    @property
    def knows_table(self) -> bool:
        """Whether this process knows a table with at least one owner."""
        return bool(self._local.table.rows)

    def owner(self, shard: int) -> Ownership | None:
        """Return the last known owner, or None."""
        row = self._local.table.rows.get(shard)
        return None if row is None else row.to_ownership()

    def active_ownership(self, shard: int) -> Ownership | None:
        """Return the ownership if this process may currently act as the owner."""
        ownership = self._local.active.get(shard)
        if ownership is None or not self._validity.is_valid():
            return None
        return ownership

    def active_shards(self) -> tuple[int, ...]:
        """Return all shards for which this process may currently act as the owner."""
        return tuple(self._local.active) if self._validity.is_valid() else ()

    def add_component(self, component: ShardComponent) -> None:
        """Register a component that keeps state for the owned shards.

        Must be called before `start`.
        """
        self._local.add_component(component)

    def start(self) -> None:
        """Start the background greenlets."""
        loops = ((self.tick, self._options.tick_s), (self.step, self._options.step_s))
        self._greenlets = [gevent.spawn(self._repeat, *loop) for loop in loops]

    def close(self) -> None:
        """Stop the background greenlets; shards are not handed over."""
        gevent.killall(self._greenlets)

    def tick(self) -> None:
        """Check for a pause, and suspend ownership after one."""
        self._validity.is_valid()

    def step(self) -> None:
        """Run one round of maintenance."""
        self._validity.revalidate()
        if self._validity.is_valid():
            self._maintain()
        self._refresh()
        if self._validity.is_valid():
            self._local.acquire()
        self._metrics.gauge("shards.owned", len(self._local.active))

    def hand_over_all(self, grace_s: float) -> HandoverReport:
        """Hand all shards over at a planned stop.

        While the store is unavailable, this process remains the owner until
        `stop_margin_s` before the end of the grace period. It then sends the states
        nevertheless, and the receivers write the table once the store is available
        again. Until then nobody owns the shards.

        Parameters
        ----------
        grace_s : float
            Time until the process exits, in seconds.

        Returns
        -------
        HandoverReport
            What became of the shards.
        """
        self._local.stopping = True
        last_try = self._clock.now() + grace_s - self._options.stop_margin_s
        while self._clock.now() < last_try and self._handover.is_store_unavailable():
            self._clock.sleep(self._options.stop_retry_s)
        return self._hand_over_now()

    def _hand_over_now(self) -> HandoverReport:
        if not self._validity.is_valid():
            # Another process may own the shards already, so their state is not sent.
            return HandoverReport(0, 0, len(self._local.active))
        report = self._handover.hand_over(sorted(self._local.active))
        self._log.decision(
            "shards-handed-over",
            self._local.process.vm_id,
            "planned stop",
            moved=report.moved,
            sent=report.sent,
            left=report.left,
        )
        return report

    def _maintain(self) -> None:
        if self._local.stopping:
            return
        self._take_over_predecessor()
        self._claimer.step()
        self._handover.complete_overdue()
        self._local.acquire()
        self._rebalancer.step()

    def _take_over_predecessor(self) -> None:
        """Take over the shards of an earlier process on this VM.

        Waits until the grants that the earlier process gave out have expired.
        """
        now = self._clock.now()
        if now - self._started_at < self._options.longest_grant_s:
            return
        if not self._predecessor_rows():
            return
        read = self._local.refresh()
        if not isinstance(read, Ok):
            return
        process = self._local.process
        moves = [
            Move(row.shard, row.epoch, process, False)
            for row in self._predecessor_rows()
        ]
        written = self._tables.write(read.ok_value, moves)
        if isinstance(written, Ok):
            before = self._local.table.version
            self._local.update(written.ok_value)
            self._gossip.push(before)

    def _predecessor_rows(self) -> list[ShardRow]:
        process = self._local.process
        return [
            row
            for owner, rows in self._local.table.by_owner().items()
            if owner.vm_id == process.vm_id and owner != process
            for row in rows
        ]

    def _refresh(self) -> None:
        now = self._clock.now()
        if now < self._refresh_at:
            return
        is_list_reader = self._fleet.is_list_reader()
        interval_s = self._options.refresh_s if is_list_reader else self._options.pull_s
        self._refresh_at = now + interval_s * self._rng.uniform(0.8, 1.2)
        before = self._local.table.version
        # During a store outage the table is still available from other VMs.
        if not is_list_reader or not isinstance(self._local.refresh(), Ok):
            self._gossip.pull()
        elif self._local.table.version > before:
            self._gossip.push(before)

    def _repeat(self, step: Callable[[], None], interval_s: float) -> None:
        while True:
            try:
                step()
            except Exception as exc:  # noqa: BLE001
                why = f"{type(exc).__name__}: {exc}"
                self._log.decision("shards-step-failed", self._local.process.vm_id, why)
            self._clock.sleep(interval_s * self._rng.uniform(0.8, 1.2))
