"""Stops requests that crash the targets that run them."""

from collections import OrderedDict

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import PeerChannel
from lacewingpond.entry.peers.messages import CrashNotice
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_CRASHES = 3  # crashes that a request may cause before nothing runs it any more
KEEP_S = 60.0  # such a request comes again within seconds
MAX_SUSPECTS = 10_000  # oldest forgotten first


class Quarantine:
    """Counts crashes by fingerprint, together with the other daemons.

    A crash is a connection that broke while the target had the request. One answer
    to the same request anywhere clears it, so requests that many clients send alike
    do not suffer from targets that fail by themselves.

    Parameters
    ----------
    fleet : Fleet
        Knows the peers.
    channel : PeerChannel
        Carries notices.
    clock : Clock
        Dates crashes.
    log : DecisionLog
        Takes requests that are stopped or cleared.
    """

    __slots__ = ("_fleet", "_channel", "_clock", "_log", "_suspects")

    def __init__(
        self, fleet: Fleet, channel: PeerChannel, clock: Clock, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._suspects: OrderedDict[str, tuple[int, float]] = OrderedDict()
        channel.on(CrashNotice, self._take)

    def is_stopped(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""
        crashes, at = self._suspects.get(fingerprint, (0, 0.0))
        return crashes >= MAX_CRASHES and self._clock.now() - at <= KEEP_S

    def note_crash(self, fingerprint: str) -> None:
        """Count a crash here and tell the fleet."""
        if fingerprint:
            self._count(fingerprint, "here")
            self._tell(CrashNotice(fingerprint, True))

    def note_answer(self, fingerprint: str) -> None:
        """Clear a suspect that a target has answered."""
        if fingerprint in self._suspects:
            self._clear(fingerprint, "here")
            self._tell(CrashNotice(fingerprint, False))

    def _tell(self, notice: CrashNotice) -> None:
        self._channel.broadcast(self._fleet.near(), notice)
        relayed = CrashNotice(notice.fingerprint, notice.crashed, True)
        self._channel.broadcast(self._fleet.relays(), relayed)

    def _take(self, notice: CrashNotice, sender: str) -> None:
        self._fleet.heard(sender)
        if notice.crashed:
            self._count(notice.fingerprint, sender)
        else:
            self._clear(notice.fingerprint, sender)
        if notice.relay:
            own = CrashNotice(notice.fingerprint, notice.crashed)
            self._channel.broadcast(self._fleet.near(), own)

    def _count(self, fingerprint: str, source: str) -> None:
        now = self._clock.now()
        crashes, at = self._suspects.pop(fingerprint, (0, now))
        crashes = crashes + 1 if now - at <= KEEP_S else 1
        self._suspects[fingerprint] = (crashes, now)
        if crashes == MAX_CRASHES:
            self._log.decision("quarantine", fingerprint, source, crashes=crashes)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _clear(self, fingerprint: str, source: str) -> None:
        crashes, _ = self._suspects.pop(fingerprint, (0, 0.0))
        if crashes >= MAX_CRASHES:
            self._log.decision("quarantine", fingerprint, f"cleared by {source}")
