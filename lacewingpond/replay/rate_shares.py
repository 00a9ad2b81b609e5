"""Replays load through the entry daemon's shares of quotas, with exact bounds."""

import random
from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.model import Workspace
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.member import Member
from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.target_statement import TargetStatement
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.messages import PeerMessage
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.allowance import Allowance
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_view import StoreView
from lacewingpond.limits.bucket import Bucket, workspace_bucket
from lacewingpond.limits.options import LimitOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.rate_traces import SHARD_COUNT
from lacewingpond.replay.rates import RateRun
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.store.base import StorePosition, WatchEvent
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

MEMBERS_PREFIX = "members/"
CONFIG_KEY = "config"


class ExactRules(Struct, frozen=True):
    """Rules in place of `QuotaRules`: shares never sum to more than rate and burst."""

    def allowance(self, workspace: EntryWorkspace) -> Allowance:
        """Return the bucket of a workspace, for all of its shares together."""
        return Allowance(
            workspace.name,
            refill_rate=workspace.rate,
            bucket_size=workspace.burst,
            initial_tokens=workspace.burst,
        )


class SharesNetwork:
    """Delivers messages between limiters immediately, or loses them.

    Parameters
    ----------
    clock : Clock
        Clock that callers wait on for a response that is lost.
    rng : random.Random
        Source of the random losses.
    loss : float
        Share of the messages that is lost in each direction.

    Attributes
    ----------
    channels : dict of str to SharesChannel
        Channels by address.
    unreachable : set of str
        Addresses to and from which all messages are lost.
    """

    __slots__ = ("clock", "channels", "unreachable", "_rng", "_loss")

    def __init__(self, clock: Clock, rng: random.Random, loss: float) -> None:
        self.clock = clock
        self.channels: dict[str, SharesChannel] = {}
        self.unreachable: set[str] = set()
        self._rng = rng
        self._loss = loss

    def delivers(self, *addresses: str) -> bool:
        """Return whether a message between these addresses is delivered."""
        return (
            not self.unreachable.intersection(addresses)
            and self._rng.random() >= self._loss
        )


class SharesChannel:
    """The part of `DatagramChannel` that a limiter uses.

    Parameters
    ----------
    network : SharesNetwork
        Connects the channels.
    address : str
        Address of this VM.
    """

    __slots__ = ("_network", "_address", "_handlers", "_response")

    def __init__(self, network: SharesNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._handlers: dict[type, Callable[[PeerMessage, str], None]] = {}
        self._response: PeerMessage | None = None
        network.channels[address] = self

    def register(self, kind: type, handler: Callable[[PeerMessage, str], None]) -> None:
        """Call `handler` with each message of class `kind` and its sender."""
        self._handlers[kind] = handler

    def send(self, to: str, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""
        if self._network.delivers(self._address, to):
            self._network.channels[to].receive(message, self._address)

    def receive(self, message: PeerMessage, sender: str) -> None:
        """Handle a request, or keep a response for `call`."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._response = message
        else:
            handler(message, sender)

    def call(
        self, address: str, make_request: Callable[[int], PeerMessage], timeout_s: float
    ) -> PeerMessage | None:
        """Send a request and return the response, or None after `timeout_s`."""
        self._response = None
        self.send(address, make_request(1))
        response = self._response
        if response is None:
            self._network.clock.sleep(timeout_s)
        return response


class SharesLimiter:
    """`QuotaLimiter` of one VM with the interface that the replay uses."""

    __slots__ = ("_limiter", "_cache", "_cfg")

    def __init__(
        self,
        vm: str,
        cfg: EntryConfig,
        network: SharesNetwork,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._cache = StoreCache(
            lambda key, old, new: old == new, lambda key, known, removed, copied: False
        )
        log, clock = NullDecisionLog(), network.clock
        view = StoreView(self._cache, _formats(cfg), clock, log, 0.0)
        fleet = Fleet(vm, "", view, clock, rng)
        channel = SharesChannel(network, _address(vm))
        self._limiter = QuotaLimiter(ExactRules(), view, fleet, channel, clock, rng)

    def apply_changes(self, events: tuple[WatchEvent, ...]) -> None:
        """Apply changes of the store."""
        self._cache.apply(events, StorePosition(revision=events[-1].revision))

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take a token of the bucket, which must be one, and return the result."""
        (bucket_id,) = bucket_ids
        return self._limiter.admit(self._cfg.workspaces[bucket_id.partition(":")[2]])


class SharesRateRun(RateRun):
    """Replay of one trace of the scenario ``rates`` through shares."""

    def __init__(self, trace: Trace) -> None:
        self.revision = 0
        self.shares_network: SharesNetwork | None = None
        super().__init__(trace, Variant.CURRENT)

    def _limiter(self, vm: str) -> SharesLimiter:
        if self.shares_network is None:
            loss = self.network.options.loss
            self.shares_network = SharesNetwork(self.clock, self.rng, loss)
        workspaces = {w.name: _entry_workspace(w) for w in self.cfg.workspaces}
        cfg = EntryConfig(1, CallerLimits(), True, (), {}, workspaces)
        rng = random.Random(self.rng.random())
        return SharesLimiter(vm, cfg, self.shares_network, rng)

    def _play(self, trace: Trace) -> None:
        events = [WatchEvent(CONFIG_KEY, b"1", 1)]
        for number, vm in enumerate(self.vms, 2):
            member = Member(_address(vm), "")
            events.append(WatchEvent(MEMBERS_PREFIX + vm, member.encode(), number))
        self._publish(tuple(events))
        super()._play(trace)

    def _apply(self, event: TraceEvent) -> None:
        if event.kind in ("owner_dies", "take_over"):
            # The trace names the owner of a slice; the share has another holder.
            holder = ranked(self._affected_workspace(event.subject), self.vms)[0]
            event = TraceEvent(event.at, event.kind, holder, event.fields)
        super()._apply(event)

    def _disconnect(self, unreachable_vm: str) -> None:
        self.unreachable.add(unreachable_vm)
        self.shares_network.unreachable.add(_address(unreachable_vm))

    def _replace_vm(self, unreachable_vm: str) -> None:
        self._publish(
            (WatchEvent(MEMBERS_PREFIX + unreachable_vm, None, self.revision + 1),)
        )

    def _publish(self, events: tuple[WatchEvent, ...]) -> None:
        self.revision = events[-1].revision
        for limiter in self.limiters.values():
            limiter.apply_changes(events)

    def _affected_workspace(self, owner: str) -> str:
        for workspace in self.cfg.workspaces:
            bucket_id = workspace_bucket(workspace.name)
            bucket = Bucket(bucket_id, workspace.rate, workspace.burst)
            shard = bucket.shards(SHARD_COUNT, LimitOptions())[0]
            if self.vms[shard % len(self.vms)] == owner:
                return workspace.name
        raise ValueError(f"{owner} does not own the first slice of any workspace")


def play_shares(trace: Trace) -> Measures:
    """Replay a trace of the scenario ``rates`` through shares; return its measures."""
    return SharesRateRun(trace).measures()


def _address(vm: str) -> str:
    return f"10.0.0.{vm.removeprefix('vm')}:7000"


def _entry_workspace(workspace: Workspace) -> EntryWorkspace:
    return EntryWorkspace(workspace.name, (), None, workspace.rate, workspace.burst)


def _formats(cfg: EntryConfig) -> Formats:
    def reject_target(target_id: str, raw: bytes) -> Result:
        return Err("traces of the scenario rates have no targets")

    return Formats(
        CONFIG_KEY,
        "targets/",
        MEMBERS_PREFIX,
        lambda raw: Ok(cfg),
        reject_target,
        lambda key, old, new: old == new,
        lambda status, headers: TargetStatement(),
    )
