"""Components that serve callers."""

import gevent

from lacewingpond.config.changes import Changes
from lacewingpond.config.kinds import ALL_KINDS, ItemKind
from lacewingpond.config.model import Config
from lacewingpond.daemon.availability import DaemonAvailability
from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.fleet import FleetComponents
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
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.targets.client import TargetClient

SWEEP_INTERVAL_S = 5.0
FLEET_SIZE_CHECK_INTERVAL_S = 2.0
LIMITER_KINDS = frozenset((ItemKind.WORKSPACE, ItemKind.SERVICE, ItemKind.ROUTE))
QUEUE_KINDS = frozenset((ItemKind.WORKSPACE, ItemKind.SERVICE))


class TrafficComponents:
    """Components through which each request passes, from the caller to a target.

    Parameters
    ----------
    cfg : Settings
        Settings of the daemon.
    context : DaemonContext
        Clock, random generator, log, metrics and secrets.
    fleet : FleetComponents
        Peer channel, membership, shards and configuration.
    availability : DaemonAvailability
        Whether this VM accepts requests.

    Attributes
    ----------
    server : CallerServer
        Accepts connections of callers.
    pipeline : Pipeline
        Authenticates, limits and routes each request.
    limiter : FleetLimiter
        Enforces the rates over all VMs.
    health : HealthReporter
        Reports the results of requests and receives the verdicts on targets.
    placer : Placer
        Selects a target for each request.
    queue : FairQueue
        Queues requests to services whose slots are all in use.
    client : TargetClient
        Sends requests to targets.
    retries : RetryBudget
        Bounds the retries to each service.
    quarantine : QuarantineService
        Quarantines requests that crash targets.
    idempotency : IdempotencyService
        Runs requests with an idempotency key at most once.
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
        "idempotency",
        "_fleet",
        "_clock",
        "_greenlets",
        "_cfg",
        "_vm_count",
        "_log",
        "_vm_id",
        "_pending_kinds",
    )

    def __init__(
        self,
        cfg: Settings,
        context: DaemonContext,
        fleet: FleetComponents,
        availability: DaemonAvailability,
    ) -> None:
        self._fleet = fleet
        self._clock = context.clock
        self._cfg = Config()
        self._vm_count = 0
        self._log = context.log
        self._vm_id = cfg.vm.id
        self._pending_kinds = ALL_KINDS
        self._greenlets: list[gevent.Greenlet] = []
        clock, rng, log, metrics = (
            context.clock,
            context.rng,
            context.log,
            context.metrics,
        )
        shared = ComponentContext(
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
        self.client.on_silent_connections = self.health.reclassify_timeouts
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
        self.idempotency = IdempotencyService.from_options(
            cfg.idempotency, shared, runner
        )
        self.pipeline = Pipeline(
            cfg.proxy,
            self.limiter,
            dispatcher,
            self.idempotency,
            runner,
            availability,
            clock,
            log,
            metrics,
        )
        self.server = CallerServer.from_options(
            cfg.http, self.pipeline.handle, log, clock
        )
        fleet.shards.add_component(self.limiter)
        fleet.shards.add_component(self.health)
        fleet.shards.add_component(self.quarantine)
        fleet.shards.add_component(self.idempotency)
        fleet.holder.on_change(self.apply_revision)

    def start(self) -> None:
        """Start the background greenlets and accept callers."""
        self.health.start()
        self._greenlets = [
            gevent.spawn(self._repeat, SWEEP_INTERVAL_S, self.client.sweep),
            gevent.spawn(
                self._repeat, FLEET_SIZE_CHECK_INTERVAL_S, self._check_fleet_size
            ),
        ]
        self.server.start()

    def stop(self) -> None:
        """Stop the greenlets and close all connections."""
        gevent.killall(self._greenlets)
        self.server.stop()
        self.health.stop()
        self.client.close()

    def apply_revision(self, cfg: Config, changes: Changes) -> None:
        """Apply a revision of the configuration.

        Parameters
        ----------
        cfg : Config
            The revision.
        changes : Changes
            Differences from the previous revision; components that use no changed
            kind of item are not reconfigured.
        """
        self._cfg = cfg
        # Kinds remain pending if a component fails, so that the next revision
        # applies them to all components again, whatever it changes itself.
        self._pending_kinds |= changes.kinds
        changed_kinds = self._pending_kinds
        try:
            self._configure_before_routes(cfg, changed_kinds)
        finally:
            # A withdrawn key must stop working even if another component fails.
            # Routes are applied last, when the components they use are configured.
            self.pipeline.configure(cfg, changed_kinds)
        self._pending_kinds = frozenset()

    def _configure_before_routes(
        self, cfg: Config, changed_kinds: frozenset[ItemKind]
    ) -> None:
        if changed_kinds & LIMITER_KINDS:
            self.limiter.configure(cfg)
        if changed_kinds & QUEUE_KINDS:
            self.queue.configure(cfg)
        if ItemKind.SERVICE in changed_kinds:
            self._configure_services(cfg)

    def _configure_services(self, cfg: Config) -> None:
        """Apply the services and targets, then the fleet size that divides limits."""
        self.health.configure(cfg)
        self.placer.configure(cfg)
        self.retries.keep_only(frozenset(service.name for service in cfg.services))
        self._apply_fleet_size()

    def _check_fleet_size(self) -> None:
        if len(self._fleet.membership.live()) + 1 != self._vm_count:
            self._apply_fleet_size()

    def _apply_fleet_size(self) -> None:
        """Apply the number of live VMs, among which limits of targets are divided."""
        vm_count = len(self._fleet.membership.live()) + 1
        self._vm_count = vm_count
        self.placer.set_fleet_size(vm_count)
        self.health.set_fleet_size(vm_count)
        self.client.configure(self._cfg, vm_count)

    def _repeat(self, period_s: float, step) -> None:
        while True:
            self._clock.sleep(period_s)
            try:
                step()
            except Exception as exc:
                why = f"{type(exc).__name__}: {exc}"
                self._log.decision("daemon-step-failed", self._vm_id, why)
