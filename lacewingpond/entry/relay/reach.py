"""Whether this VM reaches the targets, and which peers say that they do not."""

import random

import gevent
from gevent.event import Event

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import ReachNotice
from lacewingpond.entry.peers.protocol import LIMITS_VERSION
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.targets.client import TargetClient
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

SUSPECT_FAILURES = 2  # targets without a connection, after which others are probed
FAILURE_WINDOW_S = 2.0  # within which these failures count together
PROBE_TIMEOUT_S = 0.3  # an open port accepts in 2 ms
# Pause between the rounds: an open port accepts in 2 ms.
PROBE_STAGGER_S = 0.1
# Targets that are probed at once. A path to one shows that the links work; the second
# round keeps a few targets that are down from being taken for the links.
PROBE_ROUNDS = (2, 8)
SUSPICION_PAUSE_S = 0.5  # bounds the connections while many targets are down
PROBE_INTERVAL_S = 0.5  # while the links are down; varied, so that VMs return in turn
PROBES_TO_RETURN = 2  # one connection may be luck on a link that loses packets
ANNOUNCE_INTERVAL_S = 2.0
NOTICE_LIFETIME_S = 5.0  # two lost notices; a VM that restarted is used again after it
HANG_RATIO = 0.8  # of the timeout, from which failed probes hung and were not refused


class Reach:
    """Tells a VM that has lost its links to all targets from targets that fail.

    Failed connections to several targets, or broken ones, only raise a suspicion. The
    VM then opens connections to other targets: one that is accepted refutes it. These
    connections are kept for requests.

    Parameters
    ----------
    table : TargetTable
        The targets.
    client : TargetClient
        Opens connections to targets.
    fleet : Fleet
        Addresses of the peers.
    channel : DatagramChannel
        Sends and receives notices.
    clock : Clock
        Time source.
    rng : random.Random
        Draws targets and varies intervals.
    log : DecisionLog
        Log of the loss and the return of the links.

    Attributes
    ----------
    lost : bool
        Whether no target can be reached.
    """

    __slots__ = ("lost", "_table", "_client", "_fleet", "_channel", "_clock", "_rng")
    __slots__ += ("_log", "_failures", "_suspected", "_verifying", "_lost_peers")
    __slots__ += ("_last_contact_at",)

    def __init__(
        self,
        table: TargetTable,
        client: TargetClient,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.lost = False
        self._table = table
        self._client = client
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._failures: dict[str, float] = {}
        self._suspected = Event()
        self._verifying: gevent.Greenlet | None = None
        self._lost_peers: dict[str, float] = {}
        self._last_contact_at = float("-inf")
        channel.register(ReachNotice, self._handle_notice)

    def record_connect_failure(self, target_id: str, began_at: float) -> None:
        """Record that no connection to a target could be opened.

        One that was not refused but hung is enough to suspect the links: the call then
        blocks until they are verified.

        Parameters
        ----------
        target_id : str
            The target.
        began_at : float
            Begin of the attempt, in monotonic seconds.
        """
        now = self._clock.now()
        self._failures = {
            k: at for k, at in self._failures.items() if now - at <= FAILURE_WINDOW_S
        }
        self._failures[target_id] = now
        if now - began_at >= PROBE_TIMEOUT_S * HANG_RATIO:
            self.verify(since=began_at)
        elif len(self._failures) >= SUSPECT_FAILURES:
            self._suspected.set()

    def record_connected(self) -> None:
        """Record that a new connection to a target was accepted."""
        self._failures.clear()

    def record_response(self) -> None:
        """Record that a response of a target has arrived."""
        self._last_contact_at = self._clock.now()

    def peer_reaches(self, vm_id: str) -> bool:
        """Return whether a peer has not said that it reaches no target."""
        return self._lost_peers.get(vm_id, 0.0) <= self._clock.now()

    def verify(self, since: float = float("inf")) -> bool:
        """Probe some targets, unless `lost`, and return whether one is reached.

        Concurrent calls share the probes.

        Parameters
        ----------
        since : float
            Monotonic time in seconds. A response, or a probe that was accepted, after
            it proves that the links work, and saves the probes.
        """
        if self.lost:
            return False
        if self._last_contact_at > since:
            return True
        if self._verifying is None or self._verifying.ready():
            self._verifying = gevent.spawn(self._verify)
        return self._verifying.get()

    def run(self) -> None:
        """Probe when the links are suspected to be down, and until they are back."""
        while True:
            if not self.lost:
                self._suspected.wait()
                self._suspected.clear()
                self.verify()
            if self.lost:
                self._await_return()
            else:
                self._clock.sleep(SUSPICION_PAUSE_S)

    def _verify(self) -> bool:
        targets = self._draw_targets(sum(PROBE_ROUNDS))
        started, probes, left = self._clock.now(), [], targets
        for count in PROBE_ROUNDS:
            probes += [gevent.spawn(self._connects, state) for state in left[:count]]
            left = left[count:]
            timeout_s = PROBE_STAGGER_S if left else PROBE_TIMEOUT_S * 2.0
            if not targets or _any_accepted(probes, timeout_s):
                self._failures.clear()
                self._last_contact_at = self._clock.now()
                return True
        hung = self._clock.now() - started >= PROBE_TIMEOUT_S * HANG_RATIO
        if hung:
            # Responses on open connections hang as well.
            self._client.mark_silent()
        self.lost = True
        self._suspected.set()
        self._announce("lost", hung=hung, probed=len(targets))
        return False

    def _await_return(self) -> None:
        """Probe one target after another until some accept in a row."""
        accepted, announced_at = 0, self._clock.now()
        while accepted < PROBES_TO_RETURN:
            self._clock.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            connects = all(self._connects(state) for state in self._draw_targets(1))
            accepted = accepted + 1 if connects else 0
            if self._clock.now() - announced_at >= ANNOUNCE_INTERVAL_S:
                announced_at = self._clock.now()
                self._broadcast()
        self.lost = False
        self._failures.clear()
        self._announce("regained")

    def _draw_targets(self, count: int) -> list[TargetState]:
        """Return random targets, those that have not just failed first.

        None is in an evacuated failure domain.
        """
        is_evacuated = self._table.evacuations.covers
        states = [
            state
            for state in self._table.all()
            if not state.spec.draining and not is_evacuated(state.spec)
        ]
        self._rng.shuffle(states)
        states.sort(key=lambda state: state.spec.target_id in self._failures)
        return states[:count]

    def _connects(self, state: TargetState) -> bool:
        deadline = self._clock.now() + PROBE_TIMEOUT_S
        return self._client.open_idle(state.target, deadline)

    def _announce(self, why: str, **fields: object) -> None:
        self._log.decision("reach", self._fleet.vm_id, why, **fields)
        self._broadcast()

    def _broadcast(self) -> None:
        notice = ReachNotice(self._fleet.vm_id, self.lost)
        peers = self._fleet.domain_peers(LIMITS_VERSION)
        self._channel.broadcast(peers, notice)
        relayed = ReachNotice(self._fleet.vm_id, self.lost, relay=True)
        self._channel.broadcast(self._fleet.relays(LIMITS_VERSION), relayed)

    def _handle_notice(self, notice: ReachNotice, sender: str) -> None:
        self._fleet.record_message(sender)
        if notice.lost:
            self._lost_peers[notice.vm_id] = self._clock.now() + NOTICE_LIFETIME_S
        else:
            self._lost_peers.pop(notice.vm_id, None)
        if notice.relay:
            local = ReachNotice(notice.vm_id, notice.lost)
            peers = self._fleet.domain_peers(LIMITS_VERSION)
            self._channel.broadcast(peers, local)


def _any_accepted(probes: list[gevent.Greenlet], timeout_s: float) -> bool:
    """Wait until a probe is accepted, all have failed, or for `timeout_s`."""
    return any(probe.value for probe in gevent.iwait(probes, timeout_s))
