"""The part of the daemon that serves callers."""

import gevent

from lacewingpond.config.changes import Changes
from lacewingpond.config.kinds import ALL_KINDS, Kind
from lacewingpond.config.model import Config
from lacewingpond.daemon.availability import DaemonAvailability
from lacewingpond.daemon.fleet import FleetParts
from lacewingpond.daemon.surroundings import Surroundings
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.server import CallerServer
from lacewingpond.idempotency.service import IdempotencyService
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.placement.placer import Placer
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.keyed_runner import KeyedRunner
from lacewingpond.proxy.pipeline import Pipeline
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.fair_queue import FairQueue
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.settings.model import Settings
from lacewingpond.shards.part_context import PartContext
from lacewingpond.targets.client import TargetClient

SWEEP_S = 5.0
FLEET_SIZE_S = 2.0
LIMITED_KINDS = frozenset((Kind.WORKSPACE, Kind.SERVICE, Kind.ROUTE))
QUEUED_KINDS = frozenset((Kind.WORKSPACE, Kind.SERVICE))


class TrafficParts:
    """Everything that a request passes on this VM.

    Attributes
    ----------
    server : CallerServer
        Accepts callers.
    pipeline : Pipeline
        Decides what becomes of each request.
    """

    __slots__ = (
        "server",
        "pipeline",
        "limiter",
        "health",
        "placer",
        "queue",
        "client",
        "retries",
        "quarantine",
        "keyed",
        "_fleet",
        "_clock",
        "_greenlets",
        "_cfg",
        "_vm_count",
        "_log",
        "_vm_id",
        "_untaken",
    )

    def __init__(
        self,
        cfg: Settings,
        around: Surroundings,
        fleet: FleetParts,
        availability: DaemonAvailability,
    ) -> None:
        self._fleet = fleet
        self._clock = around.clock
        self._cfg = Config()
        self._vm_count = 0
        self._log = around.log
        self._vm_id = cfg.vm.id
        self._untaken = ALL_KINDS
        self._greenlets: list[gevent.Greenlet] = []
        clock, rng, log, metrics = (
            around.clock,
            around.rng,
            around.log,
            around.metrics,
        )
        shared = PartContext(
            cfg.vm.id, clock, rng, fleet.channel, fleet.shards, log, metrics
        )
        self.limiter = FleetLimiter.from_options(cfg.limits, shared)
        self.health = HealthReporter.from_options(cfg.health, shared)
        self.placer = Placer.from_options(
            cfg.placement,
            cfg.vm.id,
            cfg.vm.failure_domain,
            clock,
            rng,
            self.health,
            log,
            metrics,
        )
        self.queue = FairQueue.from_options(cfg.queues, clock, log, metrics)
        self.client = TargetClient.from_options(cfg.targets, clock, rng, log)
        self.client.on_silent = self.health.blame_connections
        self.retries = RetryBudget.from_options(cfg.retries)
        self.quarantine = QuarantineService.from_options(
            cfg.quarantine, shared, fleet.membership
        )
        dispatcher = Dispatcher(
            cfg.proxy,
            self.queue,
            self.placer,
            self.client,
            self.health,
            self.retries,
            self.quarantine,
            clock,
            log,
        )
        runner = KeyedRunner(dispatcher, clock, log)
        self.keyed = IdempotencyService.from_options(cfg.idempotency, shared, runner)
        self.pipeline = Pipeline(
            cfg.proxy,
            self.limiter,
            dispatcher,
            self.keyed,
            runner,
            availability,
            clock,
            log,
            metrics,
        )
        self.server = CallerServer.from_options(
            cfg.http, self.pipeline.handle, log, clock
        )
        fleet.shards.add_part(self.limiter)
        fleet.shards.add_part(self.health)
        fleet.shards.add_part(self.quarantine)
        fleet.shards.add_part(self.keyed)
        fleet.holder.on_change(self.take_change)

    def start(self) -> None:
        """Listen to callers."""
        self.health.start()
        self._greenlets = [
            gevent.spawn(self._repeat, SWEEP_S, self.client.sweep),
            gevent.spawn(self._repeat, FLEET_SIZE_S, self._follow_fleet),
        ]
        self.server.start()

    def stop(self) -> None:
        """Close what is left open."""
        gevent.killall(self._greenlets)
        self.server.stop()
        self.health.stop()
        self.client.close()

    def take_change(self, cfg: Config, changes: Changes) -> None:
        """Take over a revision of the configuration.

        Parameters
        ----------
        cfg : Config
            The revision.
        changes : Changes
            What differs from the revision before; parts that use none of it are
            left as they are.
        """
        self._cfg = cfg
        # Kinds stay here when a part fails, so that the next revision brings them
        # to all parts again, whatever it changes itself.
        self._untaken |= changes.kinds
        touched = self._untaken
        try:
            self._configure_behind_routes(cfg, touched)
        finally:
            # A withdrawn key must stop working whatever fails elsewhere. Routes
            # come last, when everything behind them is ready.
            self.pipeline.configure(cfg, touched)
        self._untaken = frozenset()

    def _configure_behind_routes(self, cfg: Config, touched: frozenset[Kind]) -> None:
        if touched & LIMITED_KINDS:
            self.limiter.configure(cfg)
        if touched & QUEUED_KINDS:
            self.queue.configure(cfg)
        if Kind.SERVICE in touched:
            self._take_services(cfg)

    def _take_services(self, cfg: Config) -> None:
        self.health.configure(cfg)
        self.placer.configure(cfg)
        self.retries.keep_only(frozenset(service.name for service in cfg.services))
        self._share_budgets()

    def _follow_fleet(self) -> None:
        if len(self._fleet.membership.live()) + 1 != self._vm_count:
            self._share_budgets()

    def _share_budgets(self) -> None:
        vm_count = len(self._fleet.membership.live()) + 1
        self._vm_count = vm_count
        self.placer.set_fleet_size(vm_count)
        self.health.set_fleet_size(vm_count)
        self.client.apply(self._cfg, vm_count)

    def _repeat(self, period_s: float, step) -> None:
        while True:
            self._clock.sleep(period_s)
            try:
                step()
            except Exception as exc:
                why = f"{type(exc).__name__}: {exc}"
                self._log.decision("daemon-step-failed", self._vm_id, why)
