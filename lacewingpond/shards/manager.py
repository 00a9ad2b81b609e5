"""Claims, keeps and hands over the shards of one process."""

import random
from collections.abc import Callable

import gevent
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import Ownership, ShardPart
from lacewingpond.shards.claimer import Claimer
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.gossip import TableSpread
from lacewingpond.shards.handover import HandOver, HandOverReport
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.rebalancer import Rebalancer
from lacewingpond.shards.row import ShardRow
from lacewingpond.shards.table_store import TableStore
from lacewingpond.shards.validity import Trust
from lacewingpond.store.base import Store, VmList
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class ShardManager:
    """The shards of this process; implements `ShardView`.

    Create it only after the daemon has bound its VM's listening port, which proves
    that an earlier process on the VM is dead.
    """

    __slots__ = (
        "_options",
        "_local",
        "_trust",
        "_claimer",
        "_hand_over",
        "_spread",
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
        self._trust = Trust(
            options, self._local, fleet, vm_list, self._tables, clock, rng, log
        )
        self._spread = TableSpread(
            options, self._local, self._trust, fleet, channel, rng
        )
        pieces = (self._local, self._trust, self._tables, self._spread)
        self._claimer = Claimer(options, *pieces, fleet, channel, clock, log)
        self._hand_over = HandOver(options, *pieces, fleet, channel, clock, rng, log)
        self._started_at = clock.now()
        self._refresh_at = clock.now()
        self._rebalancer = Rebalancer(
            options, self._local, self._hand_over, fleet, clock, rng
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
        """Create a manager that is not yet started.

        Parameters
        ----------
        options : ShardOptions
            Numbers and waits.
        process : ProcessId
            This VM and this run of the daemon.
        store, vm_list : Store, VmList
            The platform.
        fleet : FleetView
            The membership.
        channel : PeerChannel
            Carries states and tables.
        clock, rng : Clock, random.Random
            Time and random numbers.
        log, metrics : DecisionLog, Metrics
            Take decisions and counters.
        """
        return cls(
            options, process, store, vm_list, fleet, channel, clock, rng, log, metrics
        )

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return self._options.shard_count

    @property
    def store_calls(self) -> int:
        """Calls to the store and the VM list since the start."""
        return self._tables.reads + self._tables.writes + self._trust.list_reads

    @property
    def store_writes(self) -> int:
        """Attempted writes of the table since the start."""
        return self._tables.writes

    @property
    def knows_table(self) -> bool:
        """Whether this process has learned who owns the shards."""
        return bool(self._local.table.rows)

    def owner(self, shard: int) -> Ownership | None:
        """Return the last known owner, or None."""
        row = self._local.table.rows.get(shard)
        return None if row is None else row.to_ownership()

    def owned(self, shard: int) -> Ownership | None:
        """Return the ownership if this process may act as the owner now."""
        ownership = self._local.acting.get(shard)
        if ownership is None or not self._trust.holds():
            return None
        return ownership

    def owned_shards(self) -> tuple[int, ...]:
        """Return all shards for which this process may act now."""
        return tuple(self._local.acting) if self._trust.holds() else ()

    def add_part(self, part: ShardPart) -> None:
        """Let `part` keep state for the owned shards; before `start`."""
        self._local.add_part(part)

    def start(self) -> None:
        """Begin to work in the background."""
        loops = ((self.tick, self._options.tick_s), (self.step, self._options.step_s))
        self._greenlets = [gevent.spawn(self._repeat, *loop) for loop in loops]

    def close(self) -> None:
        """End the work in the background; shards are not handed over."""
        gevent.killall(self._greenlets)

    def tick(self) -> None:
        """Look at the clock, so that a pause shows as a gap."""
        self._trust.holds()

    def step(self) -> None:
        """Run one round of work."""
        self._trust.revalidate()
        if self._trust.holds():
            self._work()
        self._refresh()
        if self._trust.holds():
            self._local.adopt()
        self._metrics.gauge("shards.owned", len(self._local.acting))

    def hand_over_all(self, grace_s: float) -> HandOverReport:
        """Hand all shards over at a planned stop.

        While the store is away this process keeps acting, until shortly before the
        grace ends. Then it sends the states all the same, and the takers write the
        table when the store is back. In between nobody owns the shards.

        Parameters
        ----------
        grace_s : float
            Time until the process exits, in seconds.
        """
        self._local.stopping = True
        last_try = self._clock.now() + grace_s - self._options.stop_margin_s
        while self._clock.now() < last_try and self._hand_over.is_store_away():
            self._clock.sleep(self._options.stop_retry_s)
        return self._hand_over_now()

    def _hand_over_now(self) -> HandOverReport:
        if not self._trust.holds():
            # Another process may own the shards by now; their state is of no use.
            return HandOverReport(0, 0, len(self._local.acting))
        report = self._hand_over.run(sorted(self._local.acting))
        self._log.decision(
            "shards-handed-over",
            self._local.me.vm_id,
            "planned stop",
            moved=report.moved,
            sent=report.sent,
            left=report.left,
        )
        return report

    def _work(self) -> None:
        if self._local.stopping:
            return
        self._reclaim()
        self._claimer.step()
        self._hand_over.resolve()
        self._local.adopt()
        self._rebalancer.step()

    def _reclaim(self) -> None:
        """Take the shards of an earlier process on this VM."""
        now = self._clock.now()
        if now - self._started_at < self._options.longest_grant_s:
            return
        if not self._earlier_rows():
            return
        fresh = self._local.read_fresh()
        if not isinstance(fresh, Ok):
            return
        me = self._local.me
        moves = [Move(row.shard, row.epoch, me, False) for row in self._earlier_rows()]
        written = self._tables.write(fresh.ok_value, moves)
        if isinstance(written, Ok):
            before = self._local.table.version
            self._local.learn(written.ok_value)
            self._spread.push(before)

    def _earlier_rows(self) -> list[ShardRow]:
        me = self._local.me
        return [
            row
            for owner, rows in self._local.table.by_owner().items()
            if owner.vm_id == me.vm_id and owner != me
            for row in rows
        ]

    def _refresh(self) -> None:
        now = self._clock.now()
        if now < self._refresh_at:
            return
        reads = self._fleet.is_reader()
        interval_s = self._options.refresh_s if reads else self._options.pull_s
        self._refresh_at = now + interval_s * self._rng.uniform(0.8, 1.2)
        before = self._local.table.version
        # While the store is away the other VMs still know the table.
        if not reads or not isinstance(self._local.read_fresh(), Ok):
            self._spread.pull()
        elif self._local.table.version > before:
            self._spread.push(before)

    def _repeat(self, step: Callable[[], None], interval_s: float) -> None:
        while True:
            try:
                step()
            except Exception as exc:  # noqa: BLE001
                why = f"{type(exc).__name__}: {exc}"
                self._log.decision("shards-step-failed", self._local.me.vm_id, why)
            self._clock.sleep(interval_s * self._rng.uniform(0.8, 1.2))
