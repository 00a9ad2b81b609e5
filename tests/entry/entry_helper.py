"""Failing store, in-memory network and plain formats for tests of the entry daemon."""

import random

import msgspec
from result import Err, Ok

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.hold_over import holds_over
from lacewingpond.entry.limits.named_limits import NamedLimits
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.model.route import EntryRoute, WeightedService
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.protocol import CURRENT_VERSION
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.platform.evacuation_value import decode_evacuation
from lacewingpond.platform.store import WATCH_TIMEOUT_MARGIN_S
from lacewingpond.platform.target_statement import StatementDecoder
from lacewingpond.store.base import StoreError, StoreFailure, StorePosition
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

UNAVAILABLE = StoreError(StoreFailure.UNAVAILABLE, "unavailable")
TIMED_OUT = StoreError(StoreFailure.TIMED_OUT, "no response")
DISCONNECTED = StoreError(StoreFailure.DISCONNECTED, "connection closed")
COMPACTED = StoreError(StoreFailure.COMPACTED, "compacted")
MAX_AGE_S = 3.5
LIMIT_HEADER, LEAVING_HEADER = "X-Limit", "X-Leaving"
MAX_PAUSE_S = 60.0
MISSING_GRACE_S = 2.0
KEY = "key-of-acme"


def decode_instance(target_id, raw):
    try:
        return Ok(msgspec.json.decode(raw, type=EntryTarget))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def decode_config(raw):
    if not raw.isdigit():
        return Err("not a version")
    return Ok(config(int(raw)))


FORMATS = Formats(
    config_key="config",
    targets_prefix="targets/",
    members_prefix="members/",
    decode_config=decode_config,
    decode_instance=decode_instance,
    is_same=lambda key, old, new: old == new,
    decode_statement=StatementDecoder(LIMIT_HEADER, LEAVING_HEADER).decode,
    evacuations_prefix="evacuate/",
    decode_evacuation=decode_evacuation,
)


def workspace(rate=0.0, burst=0.0, name="acme", keys=(KEY,)):
    return EntryWorkspace(name, keys, None, rate, burst)


def route(**fields):
    filled = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/a/",
        "split": (WeightedService("svc", 1.0),),
        "timeout_s": 5.0,
        "max_attempts": 2,
    }
    return EntryRoute(**{**filled, **fields})


def config(version=1, routes=None, workspaces=None):
    known = (workspace(),) if workspaces is None else workspaces
    return EntryConfig(
        version=version,
        limits=CallerLimits(),
        has_workspaces=True,
        routes=(route(),) if routes is None else routes,
        services={"svc": EntryService("svc")},
        workspaces={each.name: each for each in known},
    )


def entry_target(target_id="t1", address="127.0.0.1:9", **fields):
    return EntryTarget(target_id, "svc", address, "zone-a", 6, **fields)


class FailingListingStore:
    """A `MemoryStore` whose calls can fail or hang for one VM."""

    def __init__(self, store):
        self.store = store
        self.unavailable = False
        self.compacted = False
        self.hang_s = 0.0
        self.is_silent = False
        self.watch_count = 0
        self.closes_waiting = False
        self.delay_s = 0.0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def listing(self, prefix):
        return Err(UNAVAILABLE) if self.unavailable else self.store.listing(prefix)

    def watch(self, prefix, after, timeout_s):
        self.watch_count += 1
        if self.hang_s:
            # As on a link that drops all packets: the client's timeout ends the call.
            self.store._clock.sleep(self.hang_s)
            return Err(UNAVAILABLE)
        if self.is_silent:
            # As on a connection that has fallen silent; the next call opens a new one.
            self.is_silent = False
            self.store._clock.sleep(timeout_s + WATCH_TIMEOUT_MARGIN_S)
            return Err(TIMED_OUT)
        if self.unavailable:
            return Err(UNAVAILABLE)
        if self.compacted:
            self.compacted = False
            return Err(COMPACTED)
        if self.closes_waiting and timeout_s > 0.0:
            return Err(DISCONNECTED)
        batch = self.store.watch(prefix, after, timeout_s)
        if self.delay_s:
            self.store._clock.sleep(self.delay_s)
        return batch


class Network:
    """Delivers messages between channels immediately, except for addresses in `cut`."""

    def __init__(self):
        self.channels = {}
        self.cut = set()

    def channel(self, address):
        self.channels[address] = MemoryChannel(self, address)
        return self.channels[address]


class MemoryChannel:
    """The part of `DatagramChannel` that the entry daemon uses, in memory."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}
        self.responses = {}
        self.sent = []

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, to, message):
        self.sent.append((to, message))
        endpoints = {self.address, to}
        if to not in self.network.channels or endpoints & self.network.cut:
            return
        self.network.channels[to].receive(message, self.address)

    def broadcast(self, addresses, message):
        for address in addresses:
            self.send(address, message)

    def call(self, address, make_request, timeout_s):
        number = len(self.responses) + 1
        self.responses[number] = None
        self.broadcast([address], make_request(number))
        return self.responses[number]

    def receive(self, message, sender):
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
        else:
            self.responses[message.number] = message


class Vm:
    """The store view of one VM, with its channel to peers."""

    def __init__(self, name, number, network, clock, domain="zone-a"):
        self.name = name
        self.clock = clock
        self.rng = random.Random(number)
        self.log = RecordingDecisionLog()
        self.address = f"10.0.0.{number}:7000"
        self.domain = domain
        self.speaks = CURRENT_VERSION
        self.channel = network.channel(self.address)
        self.cache = StoreCache(FORMATS.is_same, holds_over(FORMATS))
        self.freshness = Freshness(clock, self.log, MAX_AGE_S)
        self.view = StoreView(self.cache, FORMATS, clock, self.log, MISSING_GRACE_S)
        self.fleet = Fleet(name, domain, self.view, clock, self.rng)

    @property
    def member(self):
        return Member(self.address, self.domain, speaks=self.speaks)


def statements_of(vm):
    """Return what the targets have said to a VM, with the limits among it."""
    limits = NamedLimits(vm.fleet, vm.channel, vm.clock, vm.log)
    return limits, TargetStatements(
        FORMATS.decode_statement,
        limits,
        MAX_PAUSE_S,
        vm.fleet,
        vm.channel,
        vm.clock,
        vm.log,
    )


def at(revision):
    """Return a position in the history of a store that states no era."""
    return StorePosition(revision=revision)


def decisions(log, what):
    return [(which, why) for kind, which, why, _ in log.lines if kind == what]
