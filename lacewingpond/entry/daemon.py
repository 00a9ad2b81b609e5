"""The entry daemon on the platform: one on each VM, all of them equal."""

import random

import gevent
from msgspec import structs

from lacewingpond.entry.catalog import Catalog
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.follower import Follower
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.freshness import PROOF_SHARE, Freshness
from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.peers.channel import PeerChannel
from lacewingpond.entry.peers.stream import NewsServer
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.readiness import Readiness
from lacewingpond.entry.registration import Registration
from lacewingpond.entry.requests.delivery import DeliveryParts
from lacewingpond.entry.requests.pipeline import Pipeline
from lacewingpond.entry.requests.quarantine import Quarantine
from lacewingpond.entry.settings import BoundSettings, EntrySettings
from lacewingpond.entry.targets.placer import Placer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.entry.world import World
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

SWEEP_S = 0.5  # an eighth of the bound for targets that are missing after an outage
NOTICE_S = 2.2  # the balancer takes a VM out after two checks a second apart
STOP_MARGIN_S = 0.4  # of the stop's grace, to close and to exit
DRAIN_IDLE_S = 0.3  # a request that is on its way then arrives within the notice
CONNECT_TIMEOUT_S = 0.3  # an open port answers in 2 ms; a cut one never does
CALLER_CHECK_S = 0.2  # a client that has left frees its target within half a second
FRESH_S = 3.0  # targets close connections after 10 s; a shorter life costs handshakes
MAX_IDLE_S = 8.0  # below the idle time of targets
WRITE_TIMEOUT_S = 10.0  # a client that takes no bytes for longer has gone
CONNECTION_SHARE = 0.9  # of the connections that targets take from the fleet
MIN_CONNECTIONS = 4  # a VM needs a few whatever the size of the fleet
OTHER_DESCRIPTORS = 200  # the platform reserves these for files
CLIENT_SHARE = 0.7  # the rest is for targets, peers and the store
BODY_TIMEOUT_S = 10.0  # a body that stops for longer does not come


class EntryDaemon:
    """Everything that runs in one process.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    names : HeaderNames
        Fields of the platform.
    formats : Formats
        Keys and decoders of the platform.
    ready_path : str
        Path of the balancer's check.
    store : ListingStore
        The platform's store.
    clock : Clock
        Time.
    rng : random.Random
        Chance.
    log : DecisionLog
        Takes decisions.
    """

    __slots__ = ("server", "readiness", "follower", "world", "_cfg", "_clock", "_log")
    __slots__ += ("_channel", "_news", "_ready_server", "_reporter", "_client")
    __slots__ += ("_registration", "_fleet", "_retries", "_greenlets")
    __slots__ += ("_freshness", "_limiter")

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
        bounds, vm = cfg.bounds, cfg.vm
        host, port = vm.ip, cfg.listen.peer_ports[0]
        catalog = Catalog(formats.is_same)
        freshness = self._freshness = Freshness(clock, log, _proof_age_s(bounds))
        self.world = World(catalog, formats, clock, log, bounds.seconds("store_return"))
        self._fleet = Fleet(vm.id, vm.failure_domain, self.world, clock, rng)
        self._channel = PeerChannel(host, port, clock, rng, log)
        self.follower = Follower(
            store,
            catalog,
            freshness,
            self.world,
            self._fleet,
            self._channel,
            clock,
            rng,
            log,
        )
        self._news = NewsServer(host, port, self.follower.answer, log)
        self._registration = Registration(
            store,
            formats.members_prefix + vm.id,
            Member(f"{host}:{port}", vm.failure_domain),
            clock,
            rng,
            log,
        )
        self._client = TargetClient.from_options(
            _target_options(names), clock, rng, log
        )
        table = TargetTable(self.world, self._client, clock)
        self._reporter = OutcomeReporter(table, self._fleet, self._channel, clock, log)
        self._retries = RetryBudget.from_options(RetryOptions())
        limiter = self._limiter = QuotaLimiter(
            _quota_rules(bounds),
            self.world,
            self._fleet,
            self._channel,
            clock,
            rng,
        )
        parts = DeliveryParts(
            names,
            Placer(table, self._fleet, clock, rng),
            self._reporter,
            self._client,
            self._retries,
            Quarantine(self._fleet, self._channel, clock, log),
            clock,
            log,
        )
        pipeline = Pipeline(
            names, self.world, freshness, limiter, parts, clock, rng, log
        )
        self.server = CallerServer.from_options(
            http_options(cfg.listen.callers, vm.descriptors),
            pipeline.handle,
            log,
            clock,
        )
        self.readiness = Readiness(
            ready_path, lambda: self.world.config is not None and freshness.is_fresh
        )
        self._ready_server = CallerServer.from_options(
            http_options(cfg.listen.readiness, vm.descriptors),
            self.readiness.handle,
            log,
            clock,
        )
        self.world.on_config(self._take_config)
        self.world.on_members(self._take_members)
        self._take_members()

    def start(self) -> None:
        """Start everything; requests are refused until a configuration is here."""
        self._ready_server.start()
        self.server.start()
        self._channel.start()
        self._news.start()
        self.follower.start()
        self._reporter.start()
        self._registration.start()
        self._greenlets = [
            gevent.spawn(keep_running, "sweep", self._sweep, self._clock, self._log)
        ]

    def reconfigure(self, cfg: EntrySettings) -> None:
        """Take over the bounds of changed settings; addresses need a restart."""
        if (cfg.vm, cfg.listen, cfg.store) != (
            self._cfg.vm,
            self._cfg.listen,
            self._cfg.store,
        ):
            self._log.decision("reload", cfg.vm.id, "addresses change at a restart")
        self._cfg = cfg
        self._freshness.max_age_s = _proof_age_s(cfg.bounds)
        self._limiter.rules = _quota_rules(cfg.bounds)
        self.world.missing_grace_s = cfg.bounds.seconds("store_return")
        self._share_bounds()

    def stop(self) -> int:
        """Stop as planned and return how many requests were cut."""
        grace_s = self._cfg.bounds.seconds("stop_grace")
        deadline = self._clock.now() + max(grace_s - STOP_MARGIN_S, 0.0)
        self.readiness.stopping = True
        self.server.draining = True
        self._log.decision("stop", self._cfg.vm.id, "planned", grace_s=grace_s)
        self._clock.sleep(min(NOTICE_S, grace_s / 2))
        self.server.stop_accepting()
        self.follower.leave()
        self._limiter.leave()
        self._greenlets.append(gevent.spawn(self._registration.leave))
        cut = self.server.drain(max(deadline - self._clock.now(), 0.0))
        self.close()
        self._log.decision("stop", self._cfg.vm.id, "ended", cut=cut)
        return cut

    def close(self) -> None:
        """Close everything at once."""
        gevent.killall(self._greenlets)
        self.follower.stop()
        self._registration.stop()
        self._reporter.stop()
        # A peer that is still told to fetch over a stream would wait for nothing.
        self._channel.stop()
        self._news.stop()
        self._ready_server.stop()
        self.server.stop()
        self._client.close()

    def _sweep(self) -> None:
        while True:
            self._clock.sleep(SWEEP_S)
            self.world.drop_missing()
            self._client.sweep()

    def _take_config(self, cfg: FleetConfig) -> None:
        limits = cfg.limits
        self.server.options = structs.replace(
            self.server.options,
            max_head_bytes=limits.head_bytes,
            max_request_line_bytes=limits.head_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        self._retries.keep_only(frozenset(cfg.services))
        self._share_bounds()

    def _take_members(self) -> None:
        self._registration.note_listed(self.world.is_listed(self._cfg.vm.id))
        self._share_bounds()

    def _share_bounds(self) -> None:
        """Divide what the whole fleet may do by its size."""
        size, bounds = self._fleet.size, self._cfg.bounds
        reserve = bounds.retry_burst / size
        self._retries.change(
            RetryOptions(bounds.retry_ratio, reserve / 2, max(reserve, 1.0))
        )
        cfg = self.world.config
        if cfg is not None and cfg.services:
            least = min(s.max_connections for s in cfg.services.values())
            share = int(least * CONNECTION_SHARE / size)
            self._client.limit_all(max(share, MIN_CONNECTIONS))


def _proof_age_s(bounds: BoundSettings) -> float:
    if not bounds.strict_revoke:
        return float("inf")
    return bounds.seconds("revoke") * PROOF_SHARE


def _quota_rules(bounds: BoundSettings) -> QuotaRules:
    return QuotaRules(
        bounds.seconds("quota_window"), bounds.quota_overage, bounds.quota_slack
    )


def http_options(address: str, descriptors: int) -> HttpOptions:
    """Return the options of a server at `address` on a VM with `descriptors`."""
    host, port = parse_address(address)
    connections = max(int((descriptors - OTHER_DESCRIPTORS) * CLIENT_SHARE), 1)
    return HttpOptions(
        host=host,
        port=port,
        body_timeout_s=BODY_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        drain_idle_s=DRAIN_IDLE_S,
        max_connections=connections,
        max_connections_per_address=connections,
    )


def _target_options(names: HeaderNames) -> TargetOptions:
    return TargetOptions(
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_idle_s=MAX_IDLE_S,
        fresh_s=FRESH_S,
        caller_check_s=CALLER_CHECK_S,
        caller_check_max_s=CALLER_CHECK_S,
        deadline_header=names.deadline_ms,
        answer_id_header=names.request_id,
    )
