"""The entry daemon on the users' platform: one on each VM, all with the same role.

`lacewingpond.daemon` has the standalone one, on its own store interface.
"""

import random

import gevent
from msgspec import structs

from lacewingpond.entry.admission.queue_admission import QueueAdmission
from lacewingpond.entry.admission.service_capacity import ServiceCapacity
from lacewingpond.entry.balance.domain_balance import DomainBalance
from lacewingpond.entry.balance.reporter import DomainReporter
from lacewingpond.entry.balance.reports import DomainReports
from lacewingpond.entry.evacuation.emptying import Emptying
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.follower import Follower
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.freshness import MAX_PROOF_AGE_RATIO, Freshness
from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.hedging.hedging import Hedging
from lacewingpond.entry.hold_over import holds_over
from lacewingpond.entry.limits.limiter import TargetLimiter
from lacewingpond.entry.limits.named_limits import NamedLimits
from lacewingpond.entry.limits.warmup_checks import WarmupChecks
from lacewingpond.entry.limits.warmup_rules import WarmupRules
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.protocol import CURRENT_VERSION
from lacewingpond.entry.peers.stream import ChangesServer
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.readiness import Readiness
from lacewingpond.entry.registration import Registration
from lacewingpond.entry.relay.decision import decider
from lacewingpond.entry.relay.reach import Reach
from lacewingpond.entry.relay.sender import RelaySender
from lacewingpond.entry.requests.delivery import DeliveryContext
from lacewingpond.entry.requests.pipeline import EntryPipeline
from lacewingpond.entry.requests.quarantine import EntryQuarantine
from lacewingpond.entry.requests.read_ahead import ReadAhead
from lacewingpond.entry.settings import BoundSettings, EntrySettings
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.overdue import OverdueRequests
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.entry.write_order import WriteOrder
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.server import CallerServer
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.store.base import ListingStore
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.address import parse_address
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running

SWEEP_INTERVAL_S = 0.5  # 1/8 of the bound for targets missing after an outage
BALANCER_NOTICE_S = 2.2  # the balancer removes a VM after two checks, 1 s apart
STOP_MARGIN_S = 0.4  # end of the grace period, reserved to close and exit
DRAIN_IDLE_S = 0.3  # short, since requests arrive during `BALANCER_NOTICE_S` before it
DRAIN_HEAD_S = 0.6  # 2.8 s after SIGTERM; a long request would not end in the grace
CONNECT_TIMEOUT_S = 0.3  # an open port accepts in 2 ms, an unreachable one never
CALLER_CHECK_INTERVAL_S = 0.2  # frees the target of a disconnected caller within 0.5 s
# Targets close idle connections after 10 s. A lower bound on the age of a connection
# for non-idempotent requests costs handshakes.
FRESH_CONNECTION_S = 3.0
MAX_IDLE_S = 8.0
WRITE_TIMEOUT_S = 10.0  # a caller that reads nothing for longer counts as disconnected
CONNECTION_RATIO = 0.9  # of the connections that a target accepts from the fleet
RELAY_HEAD_BYTES = 8192  # the headers that the relaying VM adds
MAX_PEER_CONNECTIONS = 64  # relayed requests at one peer at the same time
MIN_CONNECTIONS = 4  # per VM and target, however large the fleet is
RESERVED_DESCRIPTORS = 200  # the platform reserves these for files
CALLER_DESCRIPTOR_RATIO = 0.7  # the rest is for targets, peers and the store
BODY_TIMEOUT_S = 10.0  # a body that pauses for longer is given up


class EntryDaemon:
    """Builds, starts and stops all components of one daemon process.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    names : HeaderNames
        Header field names of the platform.
    formats : Formats
        Store keys and decoders of the platform.
    ready_path : str
        Path of the load balancer's readiness check.
    store : ListingStore
        The platform's store.
    clock : Clock
        Clock of all components.
    rng : random.Random
        Random source of all components.
    log : DecisionLog
        Log of all components.

    Raises
    ------
    OSError
        If the peer socket can't be bound.
    """

    __slots__ = ("server", "readiness", "follower", "view", "_cfg", "_clock", "_log")
    __slots__ += (
        "_channel",
        "_changes_server",
        "_ready_server",
        "_reporter",
        "_client",
    )
    __slots__ += ("_registration", "_fleet", "_retries", "_greenlets")
    __slots__ += ("_freshness", "_limiter", "_target_limiter", "_pipeline")
    __slots__ += ("_reach", "_peer_client", "_relay_server", "_overdue")
    __slots__ += ("_statements", "_versions_logged", "_hedging")
    __slots__ += ("_placer", "_balance", "_domain_reporter", "_emptying")
    __slots__ += ("_warmup_checks", "_admission")

    def __init__(
        self,
        cfg: EntrySettings,
        names: HeaderNames,
        formats: Formats,
        ready_path: str,
        store: ListingStore,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._cfg, self._clock, self._log = cfg, clock, log
        self._greenlets: list[gevent.Greenlet] = []
        self._versions_logged: dict[str, int] = {}
        bounds, vm = cfg.bounds, cfg.vm
        host, port = vm.ip, cfg.listen.peer_ports[0]
        order = WriteOrder(formats.is_older, clock, log)
        cache = StoreCache(formats.is_same, holds_over(formats), order)
        freshness = self._freshness = Freshness(clock, log, _max_proof_age_s(bounds))
        self.view = StoreView(
            cache, formats, clock, log, bounds.seconds("store_return")
        )
        self.view.evacuations.proof_age_s = lambda: freshness.age_s
        self._fleet = Fleet(vm.id, vm.failure_domain, self.view, clock, rng)
        self._channel = DatagramChannel(host, port, clock, rng, log)
        self.follower = Follower(
            store,
            cache,
            freshness,
            self.view,
            self._fleet,
            self._channel,
            clock,
            rng,
            log,
        )
        self._changes_server = ChangesServer(host, port, self.follower.changes_for, log)
        self._registration = Registration(
            store,
            formats.members_prefix + vm.id,
            Member(
                f"{host}:{port}",
                vm.failure_domain,
                _relay_address(cfg),
                CURRENT_VERSION,
            ),
            clock,
            rng,
            log,
        )
        cache.on_era(lambda: self._registration.record_new_era(self._fleet.size))
        self._client = TargetClient.from_options(
            _target_options(names), clock, rng, log
        )
        table = TargetTable(self.view, self._client, clock)
        self._emptying = Emptying(table, self._client, log)
        self._reach = Reach(
            table, self._client, self._fleet, self._channel, clock, rng, log
        )
        peer_options = structs.replace(
            _target_options(names), connections_per_target=MAX_PEER_CONNECTIONS
        )
        self._peer_client = TargetClient.from_options(peer_options, clock, rng, log)
        self._reporter = OutcomeReporter(table, self._fleet, self._channel, clock, log)
        self._reporter.verify = self._reach.verify
        self._overdue = OverdueRequests(self._reporter, clock)
        self._retries = RetryBudget.from_options(RetryOptions())
        self._hedging = Hedging(cfg.hedging, self._retries)
        self._reporter.on_peer_rejection = self._hedging.policy.record_rejection
        limiter = self._limiter = QuotaLimiter(
            _quota_rules(bounds),
            self.view,
            self._fleet,
            self._channel,
            clock,
            rng,
        )
        limits = NamedLimits(self._fleet, self._channel, clock, log)
        statements = self._statements = TargetStatements(
            formats.decode_statement,
            limits,
            cfg.targets.max_pause_s,
            self._fleet,
            self._channel,
            clock,
            log,
        )
        self._target_limiter = TargetLimiter(
            limits,
            table,
            self.view,
            self._fleet,
            self._channel,
            clock,
            rng,
            _warmup_rules(bounds),
        )
        self._warmup_checks = WarmupChecks(
            names,
            formats.decode_warmup,
            self._target_limiter.warmup,
            table,
            self.view,
            self._client,
            clock,
            log,
        )
        self.view.evacuations.on_ended(self._warmup_checks.assume_cold)
        reports = DomainReports(clock)
        self._domain_reporter = DomainReporter(
            table, self._fleet, reports, self._channel, clock, log
        )
        self._balance = DomainBalance(
            cfg.balance, table, self._fleet, reports, clock, log
        )
        self._placer = EntryPlacer(table, statements, self._fleet, clock, rng)
        self._apply_balance(cfg)
        latencies = self._overdue.latencies
        capacity = ServiceCapacity(self._placer, table, latencies, self._fleet)
        self._admission = QueueAdmission(cfg.admission, capacity, clock, rng, log)
        self._reporter.uses_rejections = cfg.admission.enabled
        read_ahead = ReadAhead()
        context = DeliveryContext(
            names,
            table,
            self._placer,
            self._reporter,
            self._overdue,
            self._client,
            self._retries,
            EntryQuarantine(self._fleet, self._channel, clock, log),
            self._target_limiter,
            statements,
            self._reach,
            RelaySender(
                names,
                self._reach,
                statements,
                decider(vm.id, table, freshness, statements),
                self.follower.catch_up,
                self.view,
                vm.id,
                vm.failure_domain,
                self._peer_client,
                clock,
                rng,
                log,
                read_ahead,
            ),
            clock,
            log,
            self._hedging,
            self._admission,
            read_ahead,
        )
        pipeline = self._pipeline = EntryPipeline(
            names,
            self.view,
            freshness,
            limiter,
            context,
            self.follower.catch_up,
            clock,
            rng,
            log,
        )
        self.server = CallerServer.from_options(
            structs.replace(
                http_options(cfg.listen.callers, vm.descriptors),
                **structs.asdict(cfg.clients),
            ),
            pipeline.handle,
            log,
            clock,
            pipeline.may_overlap,
        )
        self._relay_server = None
        if _relay_address(cfg):
            self._relay_server = CallerServer.from_options(
                http_options(_relay_address(cfg), vm.descriptors),
                pipeline.handle_relayed,
                log,
                clock,
                unread=self.server.unread,
            )
        self.readiness = Readiness(
            ready_path, lambda: self.view.config is not None and freshness.is_fresh
        )
        self._ready_server = CallerServer.from_options(
            http_options(cfg.listen.readiness, vm.descriptors),
            self.readiness.handle,
            log,
            clock,
        )
        self.view.on_config(self._apply_config)
        self.view.on_evacuations(self._stop_warmup_checks)
        self.view.on_members(self._apply_members)
        self._apply_members()

    def start(self) -> None:
        """Start all components; requests are refused until a configuration is known.

        Raises
        ------
        OSError
            If an address can't be listened on.
        """
        self._ready_server.start()
        self.server.start()
        if self._relay_server is not None:
            self._relay_server.start()
        self._channel.start()
        self._changes_server.start()
        self.follower.start()
        self._reporter.start()
        self._registration.start()
        self._greenlets = [
            gevent.spawn(keep_running, name, loop, self._clock, self._log)
            for name, loop in (
                ("sweep", self._sweep),
                ("reach", self._reach.run),
                ("overdue", self._overdue.run),
                ("domain-loads", self._domain_reporter.run),
                ("warmup-checks", self._warmup_checks.run),
                ("admission", self._admission.run),
            )
        ]

    def apply_settings(self, cfg: EntrySettings) -> None:
        """Apply the bounds of changed settings; changed addresses need a restart."""
        if (cfg.vm, cfg.listen, cfg.store) != (
            self._cfg.vm,
            self._cfg.listen,
            self._cfg.store,
        ):
            self._log.decision(
                "reload", cfg.vm.id, "changed addresses apply after a restart only"
            )
        self._cfg = cfg
        self._freshness.max_age_s = _max_proof_age_s(cfg.bounds)
        self._limiter.rules = _quota_rules(cfg.bounds)
        self._target_limiter.warmup.rules = _warmup_rules(cfg.bounds)
        self._admission.options = cfg.admission
        self._reporter.uses_rejections = cfg.admission.enabled
        self._statements.max_pause_s = cfg.targets.max_pause_s
        self._hedging.set_options(cfg.hedging)
        self.view.missing_grace_s = cfg.bounds.seconds("store_return")
        self._apply_balance(cfg)
        self._divide_limits()

    def _stop_warmup_checks(self) -> None:
        for failure_domain in self.view.evacuations.domains:
            self._warmup_checks.stop(failure_domain)

    def _apply_balance(self, cfg: EntrySettings) -> None:
        self._balance.cfg = cfg.balance
        self._domain_reporter.enabled = cfg.balance.enabled
        self._placer.balance = self._balance if cfg.balance.enabled else None

    def stop(self) -> int:
        """Drain, stop and return how many requests were cut off."""
        grace_s = self._cfg.bounds.seconds("stop_grace")
        deadline = self._clock.now() + max(grace_s - STOP_MARGIN_S, 0.0)
        self.readiness.stopping = True
        self.server.draining = True
        self._pipeline.stopping = True
        self._log.decision(
            "stop",
            self._cfg.vm.id,
            "planned",
            grace_s=grace_s,
            connections=self.server.connection_count,
            requests=self.server.request_count,
        )
        self._clock.sleep(min(BALANCER_NOTICE_S, grace_s / 2))
        self.server.stop_accepting()
        self.follower.hand_over_watch()
        self._limiter.leave()
        self._target_limiter.leave()
        self._greenlets.append(gevent.spawn(self._registration.leave))
        left_s = max(deadline - self._clock.now(), 0.0)
        relayed = gevent.spawn(self._drain_relayed, left_s)
        cut = self.server.drain(left_s) + relayed.get()
        self._pipeline.log_running("end of the stop grace")
        self.close()
        self._log.decision("stop", self._cfg.vm.id, "ended", cut=cut)
        return cut

    def _drain_relayed(self, grace_s: float) -> int:
        """Wait for the requests of other VMs, and return how many were aborted."""
        if self._relay_server is None:
            return 0
        self._relay_server.stop_accepting()
        return self._relay_server.drain(grace_s)

    def close(self) -> None:
        """Stop all components at once."""
        gevent.killall(self._greenlets)
        self.follower.stop()
        self._registration.stop()
        self._reporter.stop()
        # Before the stream server: a peer that was referred to the stream by datagram
        # would time out on it.
        self._channel.stop()
        self._changes_server.stop()
        self._ready_server.stop()
        self.server.stop()
        if self._relay_server is not None:
            self._relay_server.stop()
        self._client.close()
        self._peer_client.close()

    def _sweep(self) -> None:
        while True:
            self._clock.sleep(self.view.drop_due_in_s(SWEEP_INTERVAL_S))
            self.view.drop_missing()
            self._emptying.sweep()
            self._client.sweep()
            self._peer_client.sweep()
            self._hedging.report(self._cfg.vm.id, self._log, self._clock.now())

    def _apply_config(self, cfg: EntryConfig) -> None:
        limits = cfg.limits
        self.server.options = structs.replace(
            self.server.options,
            max_head_bytes=limits.head_bytes,
            max_request_line_bytes=limits.head_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        if self._relay_server is not None:
            # Not the idle timeout: a relayed request must not cross the close.
            self._relay_server.options = structs.replace(
                self._relay_server.options,
                max_head_bytes=limits.head_bytes + RELAY_HEAD_BYTES,
                max_request_line_bytes=limits.head_bytes,
            )
        self._retries.keep_only(frozenset(cfg.services))
        self._balance.keep_only(frozenset(cfg.services))
        self._hedging.apply_config(cfg)
        self._admission.configure(cfg)
        self._overdue.latencies.keep_only(frozenset(r.name for r in cfg.routes))
        self._divide_limits()

    def _apply_members(self) -> None:
        self._log_versions()
        listed = self.view.is_listed(self._cfg.vm.id)
        self._registration.record_listed(listed, self._fleet.size)
        self._divide_limits()

    def _log_versions(self) -> None:
        """Log how many daemons speak each version, while there are several."""
        versions = {str(k): n for k, n in sorted(self._fleet.versions().items())}
        logged = self._versions_logged
        # With one version the number changes with each VM that starts or stops.
        if versions.keys() != logged.keys() or (len(logged) > 1 and versions != logged):
            self._versions_logged = versions
            self._log.decision("versions", self._cfg.vm.id, "spoken", **versions)

    def _divide_limits(self) -> None:
        """Set this VM's share of the fleet's retries and connections."""
        size, bounds = self._fleet.size, self._cfg.bounds
        reserve = bounds.retry_burst / size
        self._retries.set_options(
            RetryOptions(bounds.retry_ratio, reserve / 2, max(reserve, 1.0))
        )
        cfg = self.view.config
        if cfg is not None and cfg.services:
            lowest = min(s.max_connections for s in cfg.services.values())
            share = int(lowest * CONNECTION_RATIO / size)
            self._client.set_connection_limit(max(share, MIN_CONNECTIONS))


def _relay_address(cfg: EntrySettings) -> str:
    """Return where relayed requests are accepted; empty without a port for it."""
    first, last = cfg.listen.peer_ports[0], cfg.listen.peer_ports[-1]
    return f"{cfg.vm.ip}:{first + 1}" if first < last else ""


def _max_proof_age_s(bounds: BoundSettings) -> float:
    if not bounds.strict_revoke:
        return float("inf")
    return bounds.seconds("revoke") * MAX_PROOF_AGE_RATIO


def _quota_rules(bounds: BoundSettings) -> QuotaRules:
    return QuotaRules(
        bounds.seconds("quota_window"), bounds.quota_overage, bounds.quota_slack
    )


def _warmup_rules(bounds: BoundSettings) -> WarmupRules:
    return WarmupRules(bounds.warmup_overage, bounds.warmup_slack)


def http_options(address: str, descriptors: int) -> HttpOptions:
    """Return the options of an HTTP server.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    descriptors : int
        Open files that the VM allows; they bound the connections.

    Raises
    ------
    ValueError
        If `address` is no ``host:port`` with an IP number.
    """
    host, port = parse_address(address)
    connections = max(
        int((descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_RATIO), 1
    )
    return HttpOptions(
        host=host,
        port=port,
        body_timeout_s=BODY_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        drain_idle_s=DRAIN_IDLE_S,
        drain_head_s=DRAIN_HEAD_S,
        max_connections=connections,
        max_connections_per_address=connections,
    )


def _target_options(names: HeaderNames) -> TargetOptions:
    return TargetOptions(
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_idle_s=MAX_IDLE_S,
        fresh_s=FRESH_CONNECTION_S,
        caller_check_s=CALLER_CHECK_INTERVAL_S,
        caller_check_max_s=CALLER_CHECK_INTERVAL_S,
        deadline_header=names.deadline_ms,
        answer_id_header=names.request_id,
    )
