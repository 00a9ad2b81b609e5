"""A store with faults, a network in memory and plain formats for tests of the entry."""

import random

import msgspec
from result import Err, Ok

from lacewingpond.entry.catalog import Catalog
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.model.instance import Instance
from lacewingpond.entry.model.route import EntryRoute, WeightedService
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.world import World
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

AWAY = StoreError(StoreFailure.UNAVAILABLE, "turned away")
FORGOTTEN = StoreError(StoreFailure.COMPACTED, "forgotten")
MAX_AGE_S = 3.5
MISSING_GRACE_S = 2.0
KEY = "key-of-acme"


def decode_instance(target_id, raw):
    try:
        return Ok(msgspec.json.decode(raw, type=Instance))
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
    return FleetConfig(
        version=version,
        limits=CallerLimits(),
        has_workspaces=True,
        routes=(route(),) if routes is None else routes,
        services={"svc": EntryService("svc")},
        workspaces={each.name: each for each in known},
    )


def instance(target_id="t1", address="127.0.0.1:9", **fields):
    return Instance(target_id, "svc", address, "zone-a", 6, **fields)


class FaultyListing:
    """A `MemoryStore` that may turn this VM away or forget its history."""

    def __init__(self, store):
        self.store = store
        self.away = False
        self.forgets = False
        self.hangs_s = 0.0
        self.watches = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def listing(self, prefix):
        return Err(AWAY) if self.away else self.store.listing(prefix)

    def watch(self, prefix, after, timeout_s):
        self.watches += 1
        if self.hangs_s:
            # Cut off without a word; the call ends by its own time-out.
            self.store._clock.sleep(self.hangs_s)
            return Err(AWAY)
        if self.away:
            return Err(AWAY)
        if self.forgets:
            self.forgets = False
            return Err(FORGOTTEN)
        return self.store.watch(prefix, after, timeout_s)


class Network:
    """Carries messages between channels at once; links can be cut."""

    def __init__(self):
        self.channels = {}
        self.cut = set()

    def channel(self, address):
        self.channels[address] = MemoryChannel(self, address)
        return self.channels[address]


class MemoryChannel:
    """Implements what the entry daemon needs of a `PeerChannel`."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}
        self.answers = {}
        self.sent = []

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, to, message):
        self.sent.append((to, message))
        ends = {self.address, to}
        if to not in self.network.channels or ends & self.network.cut:
            return
        self.network.channels[to].take(message, self.address)

    def broadcast(self, addresses, message):
        for address in addresses:
            self.send(address, message)

    def ask(self, address, make, timeout_s):
        number = len(self.answers) + 1
        self.answers[number] = None
        self.broadcast([address], make(number))
        return self.answers[number]

    def take(self, message, sender):
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
        else:
            self.answers[message.number] = message


class Vm:
    """The beliefs of one VM, with its channel."""

    def __init__(self, name, number, network, clock, domain="zone-a"):
        self.name = name
        self.clock = clock
        self.rng = random.Random(number)
        self.log = RecordingDecisionLog()
        self.address = f"10.0.0.{number}:7000"
        self.domain = domain
        self.channel = network.channel(self.address)
        self.catalog = Catalog(FORMATS.is_same)
        self.freshness = Freshness(clock, self.log, MAX_AGE_S)
        self.world = World(self.catalog, FORMATS, clock, self.log, MISSING_GRACE_S)
        self.fleet = Fleet(name, domain, self.world, clock, self.rng)

    @property
    def member(self):
        return Member(self.address, self.domain)


def decisions(log, what):
    return [(which, why) for kind, which, why, _ in log.lines if kind == what]
