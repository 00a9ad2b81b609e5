"""Replays loads through the entry daemon's shares of rates, with exact bounds."""

import random
from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.model import Workspace
from lacewingpond.entry.catalog import Catalog
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.messages import Message
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.world import World
from lacewingpond.limits.bucket import Bucket, workspace_bucket
from lacewingpond.limits.options import LimitOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.rate_traces import SHARD_COUNT
from lacewingpond.replay.rates import RatesRun
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

TOKENS_PER_SHARE = 4.0  # as the slices of the other mechanism
MEMBERS = "members/"
CONFIG = "config"


class ExactRules(Struct, frozen=True):
    """Shares that never sum to more than rate and burst, as `QuotaRules` has them."""

    def rate(self, workspace: EntryWorkspace) -> float:
        """Return the tokens a second of all shares."""
        return workspace.rate

    def size(self, workspace: EntryWorkspace) -> float:
        """Return the tokens that all shares hold at most."""
        return workspace.burst

    def share_count(self, workspace: EntryWorkspace, fleet_size: int) -> int:
        """Return into how many shares a bucket is split."""
        return min(max(int(workspace.burst / TOKENS_PER_SHARE), 1), fleet_size)

    def start_tokens(self, workspace: EntryWorkspace) -> float:
        """Return the tokens with which a new fleet starts."""
        return workspace.burst

    def may_double(self, workspace: EntryWorkspace) -> bool:
        """Return False: a second holder would exceed an exact bound."""
        return False


class SharesNetwork:
    """Delivers messages between limiters at once; some are lost.

    Parameters
    ----------
    clock : Clock
        Waits for answers that do not come.
    rng : random.Random
        Draws losses.
    loss : float
        Share of the messages that is lost in each direction.
    """

    __slots__ = ("clock", "channels", "dead", "_rng", "_loss")

    def __init__(self, clock: Clock, rng: random.Random, loss: float) -> None:
        self.clock = clock
        self.channels: dict[str, SharesChannel] = {}
        self.dead: set[str] = set()
        self._rng = rng
        self._loss = loss

    def carries(self, *ends: str) -> bool:
        """Return whether one message gets through."""
        return not self.dead.intersection(ends) and self._rng.random() >= self._loss


class SharesChannel:
    """What a limiter needs of a `PeerChannel`."""

    __slots__ = ("_network", "_address", "_handlers", "_answer")

    def __init__(self, network: SharesNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._handlers: dict[type, Callable[[Message, str], None]] = {}
        self._answer: Message | None = None
        network.channels[address] = self

    def on(self, kind: type, handler: Callable[[Message, str], None]) -> None:
        """Call `handler` with each message of `kind` and its sender."""
        self._handlers[kind] = handler

    def send(self, to: str, message: Message) -> None:
        """Send an answer."""
        if self._network.carries(self._address, to):
            self._network.channels[to].take(message, self._address)

    def take(self, message: Message, sender: str) -> None:
        """Take a question or an answer."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._answer = message
        else:
            handler(message, sender)

    def ask(
        self, address: str, make: Callable[[int], Message], timeout_s: float
    ) -> Message | None:
        """Send a question and return its answer, if any."""
        self._answer = None
        self.send(address, make(1))
        answer = self._answer
        if answer is None:
            self._network.clock.sleep(timeout_s)
        return answer


class ShareLimiter:
    """One VM's `QuotaLimiter` behind the interface that the replay calls."""

    __slots__ = ("_limiter", "_catalog", "_cfg")

    def __init__(
        self,
        vm: str,
        cfg: FleetConfig,
        network: SharesNetwork,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._catalog = Catalog(lambda key, old, new: old == new)
        log, clock = NullDecisionLog(), network.clock
        world = World(self._catalog, _formats(cfg), clock, log, 0.0)
        fleet = Fleet(vm, "", world, clock, rng)
        channel = SharesChannel(network, _address(vm))
        self._limiter = QuotaLimiter(ExactRules(), world, fleet, channel, clock, rng)

    def learn(self, events: tuple[WatchEvent, ...]) -> None:
        """Take over changes of the store."""
        self._catalog.apply(events, events[-1].revision)

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take a token of the one bucket of the traces."""
        (bucket_id,) = bucket_ids
        return self._limiter.admit(self._cfg.workspaces[bucket_id.partition(":")[2]])


class SharesRun(RatesRun):
    """Replays a trace of the rates through shares."""

    def __init__(self, trace: Trace) -> None:
        self.revision = 0
        self.shares_network: SharesNetwork | None = None
        super().__init__(trace, Variant.CURRENT)

    def _limiter(self, vm: str) -> ShareLimiter:
        if self.shares_network is None:
            loss = self.network.options.loss
            self.shares_network = SharesNetwork(self.clock, self.rng, loss)
        workspaces = {w.name: _entry_workspace(w) for w in self.cfg.workspaces}
        cfg = FleetConfig(1, CallerLimits(), True, (), {}, workspaces)
        rng = random.Random(self.rng.random())
        return ShareLimiter(vm, cfg, self.shares_network, rng)

    def _play(self, trace: Trace) -> None:
        events = [WatchEvent(CONFIG, b"1", 1)]
        for number, vm in enumerate(self.vms, 2):
            member = Member(_address(vm), "")
            events.append(WatchEvent(MEMBERS + vm, member.encode(), number))
        self._tell(tuple(events))
        super()._play(trace)

    def _apply(self, event: TraceEvent) -> None:
        if event.kind in ("owner_dies", "take_over"):
            # The trace names who owns the slice; here another VM holds the share.
            holder = ranked(self._workspace_hit(event.subject), self.vms)[0]
            event = TraceEvent(event.at, event.kind, holder, event.fields)
        super()._apply(event)

    def _kill(self, dead: str) -> None:
        self.dead.add(dead)
        self.shares_network.dead.add(_address(dead))

    def _take_over(self, dead: str) -> None:
        self._tell((WatchEvent(MEMBERS + dead, None, self.revision + 1),))

    def _tell(self, events: tuple[WatchEvent, ...]) -> None:
        self.revision = events[-1].revision
        for limiter in self.limiters.values():
            limiter.learn(events)

    def _workspace_hit(self, owner: str) -> str:
        for workspace in self.cfg.workspaces:
            bucket_id = workspace_bucket(workspace.name)
            bucket = Bucket(bucket_id, workspace.rate, workspace.burst)
            shard = bucket.shards(SHARD_COUNT, LimitOptions())[0]
            if self.vms[shard % len(self.vms)] == owner:
                return workspace.name
        raise ValueError(f"{owner} owns no first slice")


def play_shares(trace: Trace) -> Measures:
    """Replay `trace` and return what came of it."""
    return SharesRun(trace).measures()


def _address(vm: str) -> str:
    return f"10.0.0.{vm.removeprefix('vm')}:7000"


def _entry_workspace(workspace: Workspace) -> EntryWorkspace:
    return EntryWorkspace(workspace.name, (), None, workspace.rate, workspace.burst)


def _formats(cfg: FleetConfig) -> Formats:
    def no_instance(target_id: str, raw: bytes) -> Result:
        return Err("the traces have no targets")

    return Formats(
        CONFIG,
        "targets/",
        MEMBERS,
        lambda raw: Ok(cfg),
        no_instance,
        lambda key, old, new: old == new,
    )
