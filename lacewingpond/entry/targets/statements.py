"""What the targets have said of themselves, to this VM or to its peers."""

from collections import OrderedDict
from collections.abc import Callable

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.limits.named_limits import Incarnation, NamedLimits
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.model.target_statement import TargetStatement
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import LeavingNotice
from lacewingpond.entry.peers.protocol import STATEMENTS_VERSION
from lacewingpond.http.headers import Headers
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_INCARNATIONS = 10_000  # the oldest ones are dropped first

Decoder = Callable[[int, Headers], TargetStatement]


class TargetStatements:
    """Records which targets leave or want a pause, and passes limits on.

    That a target leaves holds until its next incarnation and is told to the fleet. A
    pause concerns the requests of this VM alone. Both are known for incarnations, so
    that they outlive an entry that is missing for a while.

    Parameters
    ----------
    decode : callable
        Returns the statement in a response, from its status and headers.
    limits : NamedLimits
        Receives the limits.
    max_pause_s : float
        Longest pause that is kept, in seconds.
    fleet : Fleet
        Addresses of the peers.
    channel : DatagramChannel
        Sends and receives notices.
    clock : Clock
        Time source.
    log : DecisionLog
        Log of statements, and of values that are ignored.

    Attributes
    ----------
    max_pause_s : float
        Longest pause that is kept, in seconds.
    """

    __slots__ = ("max_pause_s", "_decode", "_limits", "_fleet", "_channel", "_clock")
    __slots__ += ("_log", "_leaving", "_paused_until", "_ignored")

    def __init__(
        self,
        decode: Decoder,
        limits: NamedLimits,
        max_pause_s: float,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.max_pause_s = max_pause_s
        self._decode = decode
        self._limits = limits
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._leaving: OrderedDict[Incarnation, None] = OrderedDict()
        self._paused_until: OrderedDict[Incarnation, float] = OrderedDict()
        self._ignored: OrderedDict[tuple[Incarnation, str], None] = OrderedDict()
        channel.register(LeavingNotice, self._handle_notice)

    def observe(
        self, target: EntryTarget, status: int, headers: Headers, sent_at: float
    ) -> TargetStatement:
        """Record what a response of a target says, and return it.

        Parameters
        ----------
        target : EntryTarget
            The target.
        status : int
            Status of the response.
        headers : Headers
            Its headers.
        sent_at : float
            Time before its request was sent, in monotonic seconds.
        """
        key = (target.target_id, target.incarnation)
        statement = self._decode(status, headers)
        for header, why in statement.errors:
            self._log_ignored(key, header, why)
        if statement.has_valid_limit:
            self._limits.observe(target, statement.limit, sent_at)
        if statement.leaving:
            self._announce_leaving(key)
        if statement.pause_s > 0.0:
            self._pause(key, statement.pause_s)
        return statement

    def observe_relayed(self, key: Incarnation, status: int, headers: Headers) -> None:
        """Record that a target leaves, from its response to a request of a peer."""
        if self._decode(status, headers).leaving:
            self._announce_leaving(key)

    def is_leaving(self, target: EntryTarget) -> bool:
        """Return whether a target accepts no new requests until its next start."""
        return (target.target_id, target.incarnation) in self._leaving

    def pause_left_s(self, target: EntryTarget) -> float:
        """Return for how long a target wants no requests of this VM, in seconds."""
        key = (target.target_id, target.incarnation)
        until = self._paused_until.get(key)
        return max(until - self._clock.now(), 0.0) if until is not None else 0.0

    def _announce_leaving(self, key: Incarnation) -> None:
        if self._record_leaving(key, "here"):
            notice = LeavingNotice(*key)
            peers = self._fleet.domain_peers(STATEMENTS_VERSION)
            self._channel.broadcast(peers, notice)
            relayed = LeavingNotice(*key, relay=True)
            self._channel.broadcast(self._fleet.relays(STATEMENTS_VERSION), relayed)

    def _record_leaving(self, key: Incarnation, source: str) -> bool:
        """Record that a target leaves, and return whether that is new."""
        if key in self._leaving:
            return False
        self._leaving[key] = None
        _drop_oldest(self._leaving)
        self._log.decision("leaving", key[0], source)
        return True

    def _pause(self, key: Incarnation, pause_s: float) -> None:
        now = self._clock.now()
        until = now + min(pause_s, self.max_pause_s)
        until = max(until, self._paused_until.pop(key, until))
        self._paused_until[key] = until
        _drop_oldest(self._paused_until)
        self._log.decision("pause", key[0], "asked for", pause_s=round(until - now, 2))

    def _handle_notice(self, notice: LeavingNotice, sender: str) -> None:
        self._fleet.record_message(sender)
        self._record_leaving((notice.target_id, notice.incarnation), f"peer {sender}")
        if notice.relay:
            local = LeavingNotice(notice.target_id, notice.incarnation)
            peers = self._fleet.domain_peers(STATEMENTS_VERSION)
            self._channel.broadcast(peers, local)

    def _log_ignored(self, key: Incarnation, header: str, why: str) -> None:
        """Log an ignored value, once for each header of an incarnation."""
        if (key, header) not in self._ignored:
            self._ignored[key, header] = None
            _drop_oldest(self._ignored)
            self._log.decision("statement", key[0], f"ignored {header}: {why}")


def _drop_oldest(records: OrderedDict) -> None:
    if len(records) > MAX_INCARNATIONS:
        records.popitem(last=False)
