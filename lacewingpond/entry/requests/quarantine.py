"""Quarantine, by the entry daemon, of requests that crash the targets that run them.

`lacewingpond.quarantine` has that of the standalone daemon.
"""

from collections import OrderedDict

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import CrashNotice
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_CRASHES = 3  # crashes after which a request is no longer run
CRASH_WINDOW_S = 60.0  # callers repeat such a request within seconds
MAX_SUSPECTS = 10_000  # the least recent ones are dropped first


class EntryQuarantine:
    """Counts crashes per request fingerprint across the fleet.

    A crash is a connection that broke while the target had the request. One response
    to the same request anywhere in the fleet clears its count, so that a request which
    many callers send is not quarantined because targets fail for other reasons.

    Parameters
    ----------
    fleet : Fleet
        Addresses of the peers.
    channel : DatagramChannel
        Sends and receives notices.
    clock : Clock
        Time source.
    log : DecisionLog
        Log of requests that are quarantined or cleared.
    """

    __slots__ = ("_fleet", "_channel", "_clock", "_log", "_suspects")

    def __init__(
        self, fleet: Fleet, channel: DatagramChannel, clock: Clock, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._suspects: OrderedDict[str, tuple[int, float]] = OrderedDict()
        channel.register(CrashNotice, self._handle_notice)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request is quarantined and must not run."""
        crashes, at = self._suspects.get(fingerprint, (0, 0.0))
        return crashes >= MAX_CRASHES and self._clock.now() - at <= CRASH_WINDOW_S

    def record_crash(self, fingerprint: str) -> None:
        """Count a crash that this VM observed and notify the fleet.

        A request without a fingerprint is not counted.
        """
        if fingerprint:
            self._count(fingerprint, "this VM")
            self._broadcast(CrashNotice(fingerprint, True))

    def clear_crashes(self, fingerprint: str) -> None:
        """Drop the crash count of a request on all VMs, after a target answered it.

        This also ends a quarantine of the request.
        """
        if fingerprint in self._suspects:
            self._clear(fingerprint, "this VM")
            self._broadcast(CrashNotice(fingerprint, False))

    def _broadcast(self, notice: CrashNotice) -> None:
        self._channel.broadcast(self._fleet.domain_peers(), notice)
        relayed = CrashNotice(notice.fingerprint, notice.crashed, True)
        self._channel.broadcast(self._fleet.relays(), relayed)

    def _handle_notice(self, notice: CrashNotice, sender: str) -> None:
        self._fleet.record_message(sender)
        if notice.crashed:
            self._count(notice.fingerprint, sender)
        else:
            self._clear(notice.fingerprint, sender)
        if notice.relay:
            local = CrashNotice(notice.fingerprint, notice.crashed)
            self._channel.broadcast(self._fleet.domain_peers(), local)

    def _count(self, fingerprint: str, source: str) -> None:
        now = self._clock.now()
        crashes, at = self._suspects.pop(fingerprint, (0, now))
        crashes = crashes + 1 if now - at <= CRASH_WINDOW_S else 1
        self._suspects[fingerprint] = (crashes, now)
        if crashes == MAX_CRASHES:
            self._log.decision("quarantine", fingerprint, source, crashes=crashes)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _clear(self, fingerprint: str, source: str) -> None:
        crashes, _ = self._suspects.pop(fingerprint, (0, 0.0))
        if crashes >= MAX_CRASHES:
            self._log.decision("quarantine", fingerprint, f"cleared by {source}")
