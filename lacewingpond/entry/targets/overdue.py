"""Evidence against targets from requests that they have not responded to yet.

A target that hangs is noticed long before its requests reach their deadlines: the
longer a request waits beyond the usual latency of its route, the less likely it is that
its target works. Like a phi accrual failure detector, but for each request: Hayashibara
et al., "The phi accrual failure detector", SRDS 2004.
"""

import heapq
import itertools
import math

from gevent.event import Event

from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.targets.health import EJECT_SCORE
from lacewingpond.entry.targets.latency import RouteLatencies, RouteLatency
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.util.clock import Clock

CHECK_INTERVAL_S = 0.1  # a fifth of the usual time until the first level
HANG_RATIO = 0.5  # of the requests of a target that hangs in part
# Waits this many times as long as the same request took at another target.
SUPERSEDED_RATIO = 2.0
LEVELS = (0.25, 0.12, 0.06, 0.03)
"""Shares of successes that take longer than a request has waited."""


def evidence_at(share: float) -> float:
    """Return the evidence, as a log likelihood ratio, of a request still unanswered.

    Parameters
    ----------
    share : float
        Share of the successes of its route that take longer.
    """
    return math.log(HANG_RATIO / share + 1.0 - HANG_RATIO)


class WaitingRequest:
    """One attempt that waits for the response of its target.

    Attributes
    ----------
    state : TargetState
        The target.
    latency : RouteLatency
        Latency of the request's route.
    sent_at : float
        When the attempt started, in monotonic seconds.
    queue_s : float
        Expected wait for a slot of the target, in seconds.
    evidence : float
        Evidence against the target that it has given so far.
    level : int
        Index of the next of `LEVELS`.
    ended : bool
        Whether it no longer waits.
    """

    __slots__ = ("state", "latency", "sent_at", "queue_s", "evidence", "ended")
    __slots__ += ("level",)

    def __init__(
        self, state: TargetState, latency: RouteLatency, sent_at: float
    ) -> None:
        self.state = state
        self.latency = latency
        self.sent_at = sent_at
        queued = max(state.load(sent_at) - 1.0, 0.0)  # per slot
        self.queue_s = queued * latency.exceeded_by(0.5)
        self.evidence = 0.0
        self.ended = False
        self.level = 0

    def time_to_level(self, level: int) -> float:
        """Return the time at which it reaches a level, in monotonic seconds."""
        usual_s = self.latency.exceeded_by(LEVELS[level])
        return self.sent_at + self.queue_s + usual_s


class OverdueRequests:
    """Reports requests that wait for longer than usual, and takes that back if need be.

    Parameters
    ----------
    reporter : OutcomeReporter
        Receives the evidence.
    clock : Clock
        Time source.

    Attributes
    ----------
    latencies : RouteLatencies
        Usual latencies of the routes.
    """

    __slots__ = ("latencies", "_reporter", "_clock", "_due", "_numbers", "_started")

    def __init__(self, reporter: OutcomeReporter, clock: Clock) -> None:
        self.latencies = RouteLatencies()
        self._reporter = reporter
        self._clock = clock
        self._due: list[tuple[float, int, WaitingRequest]] = []
        self._numbers = itertools.count()
        self._started = Event()

    def start(self, state: TargetState, route: EntryRoute) -> WaitingRequest:
        """Return a new attempt at `state`, which another method must end."""
        latency = self.latencies.of(route.name, route.target_latency_s)
        waiting = WaitingRequest(state, latency, self._clock.now())
        self._schedule(waiting)
        self._started.set()
        return waiting

    def respond(self, waiting: WaitingRequest) -> None:
        """End an attempt that got a response, and take back its evidence."""
        self.end(waiting)
        if waiting.evidence:
            self._reporter.record_overdue(waiting.state, -waiting.evidence)
            waiting.evidence = 0.0

    def end(self, waiting: WaitingRequest) -> None:
        """End an attempt without a response; its evidence stands."""
        waiting.ended = True

    def supersede(self, waiting: WaitingRequest, other: WaitingRequest) -> None:
        """Record that another target responded first to the same request.

        How long a request takes depends more on the request than on its target, so a
        much longer wait alone shows that the target hangs.
        """
        now = self._clock.now()
        waited_s, other_s = now - waiting.sent_at, now - other.sent_at
        if waiting.ended or waited_s < other_s * SUPERSEDED_RATIO:
            return
        self._raise_evidence(waiting, EJECT_SCORE)

    def check(self) -> None:
        """Report the evidence of the requests that have reached a level."""
        now = self._clock.now()
        while self._due and self._due[0][0] <= now:
            _, _, waiting = heapq.heappop(self._due)
            if waiting.ended:
                continue
            self._raise_evidence(waiting, evidence_at(LEVELS[waiting.level]))
            waiting.level += 1
            if waiting.level < len(LEVELS):
                self._schedule(waiting)

    def run(self) -> None:
        """Check at intervals while requests wait; never returns."""
        while True:
            self._started.wait()
            while self._due:
                self._clock.sleep(CHECK_INTERVAL_S)
                self.check()
            self._started.clear()

    def _raise_evidence(self, waiting: WaitingRequest, evidence: float) -> None:
        added = evidence - waiting.evidence
        if added > 0.0:
            waiting.evidence = evidence
            age_s = self._clock.now() - waiting.sent_at
            self._reporter.record_overdue(waiting.state, added, age_s)

    def _schedule(self, waiting: WaitingRequest) -> None:
        due = (waiting.time_to_level(waiting.level), next(self._numbers), waiting)
        heapq.heappush(self._due, due)
