"""The rate limits that targets name, as this VM and its peers have seen them."""

from collections import OrderedDict

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.limits.named_limit import NamedLimit
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import LimitNotice
from lacewingpond.entry.peers.protocol import LIMITS_VERSION
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_LIMITS = 10_000  # the least recently observed ones are dropped first
ANNOUNCE_INTERVAL_S = 10.0  # for VMs that have started or missed a change since

Incarnation = tuple[str, int]
"""Id of a target, and what changes with each of its starts."""


class NamedLimits:
    """Records the limits of targets and announces changes to the fleet.

    A limit holds until the target names another one, or responds without one to a
    request that was sent after the limit was observed. Responses to earlier requests
    may have been on their way when it was named. The newest observation wins.

    Parameters
    ----------
    fleet : Fleet
        Addresses of the peers.
    channel : DatagramChannel
        Sends and receives notices.
    clock : Clock
        Time source.
    log : DecisionLog
        Log of changes.
    """

    __slots__ = ("_fleet", "_channel", "_clock", "_log", "_limits")

    def __init__(
        self, fleet: Fleet, channel: DatagramChannel, clock: Clock, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._limits: OrderedDict[Incarnation, NamedLimit] = OrderedDict()
        channel.register(LimitNotice, self._handle_notice)

    def known(self, key: Incarnation) -> NamedLimit:
        """Return a limit that was recorded.

        Raises
        ------
        KeyError
            If none was recorded for this incarnation.
        """
        return self._limits[key]

    def named(self) -> list[Incarnation]:
        """Return the incarnations that name a limit."""
        return [key for key, limit in self._limits.items() if limit.rate is not None]

    def get(self, target: EntryTarget) -> NamedLimit | None:
        """Return what is known of a target's limit, or None if it has named none."""
        return self._limits.get(_incarnation(target))

    def observe(self, target: EntryTarget, rate: float | None, sent_at: float) -> None:
        """Record the limit that a response names, or that it names none.

        Parameters
        ----------
        target : EntryTarget
            The target that responded.
        rate : float or None
            Its limit in requests per second; None if it names none.
        sent_at : float
            Time before its request was sent, in monotonic seconds.
        """
        key = _incarnation(target)
        if rate is None and key not in self._limits:
            return
        now = self._clock.now()
        observed_at = now if rate is not None else sent_at
        if not self.record(key, rate, observed_at, "here"):
            return
        limit = self._limits[key]
        if now - limit.announced_at >= ANNOUNCE_INTERVAL_S:
            limit.announced_at = now
            self._broadcast(self.notice(key, limit))

    def record(
        self, key: Incarnation, rate: float | None, observed_at: float, source: str
    ) -> bool:
        """Record an observation, and return whether it is the newest one.

        Parameters
        ----------
        key : Incarnation
            The target.
        rate : float or None
            Its limit; None if it names none.
        observed_at : float
            As `NamedLimit.observed_at`.
        source : str
            Who observed it, for the log.
        """
        limit = self._limits.get(key)
        if limit is not None and not _is_newer(rate, observed_at, limit):
            return False
        if limit is None or limit.rate != rate:
            self._limits[key] = NamedLimit(rate, observed_at)
            why = "ended" if rate is None else "named"
            self._log.decision("limit", key[0], why, rate=rate, source=source)
        else:
            limit.observed_at = observed_at
        self._limits.move_to_end(key)
        if len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        return True

    def notice(self, key: Incarnation, limit: NamedLimit) -> LimitNotice:
        """Return the message that tells a peer what is known of a limit."""
        age_s = self._clock.now() - limit.observed_at
        return LimitNotice(*key, limit.rate, age_s)

    def _broadcast(self, notice: LimitNotice) -> None:
        peers = self._fleet.domain_peers(LIMITS_VERSION)
        self._channel.broadcast(peers, notice)
        relayed = LimitNotice(
            notice.target_id, notice.incarnation, notice.rate, notice.age_s, True
        )
        self._channel.broadcast(self._fleet.relays(LIMITS_VERSION), relayed)

    def _handle_notice(self, notice: LimitNotice, sender: str) -> None:
        self._fleet.record_message(sender)
        now = self._clock.now()
        key = (notice.target_id, notice.incarnation)
        if self.record(key, notice.rate, now - notice.age_s, f"peer {sender}"):
            self._limits[key].announced_at = now
        if notice.relay:
            local = LimitNotice(*key, notice.rate, notice.age_s)
            peers = self._fleet.domain_peers(LIMITS_VERSION)
            self._channel.broadcast(peers, local)


def _is_newer(rate: float | None, observed_at: float, known: NamedLimit) -> bool:
    # Of two simultaneous observations the one with a limit is safe.
    if rate is None:
        return observed_at > known.observed_at
    return observed_at >= known.observed_at


def _incarnation(target: EntryTarget) -> Incarnation:
    return target.target_id, target.incarnation
