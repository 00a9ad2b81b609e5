"""One try of a request at one target, from its placement to its end."""

from lacewingpond.config.model import Service
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.headers import Headers
from lacewingpond.placement.placement import Placement
from lacewingpond.targets.errors import SendError, SendReason
from lacewingpond.targets.response import AnswerEnd, TargetResponse
from lacewingpond.util.clock import Clock

LOAD_HEADER = "Lacewingpond-Load"
FIRST_SERVER_ERROR = 500

OUTCOMES = {
    SendReason.CONNECT: Outcome.REFUSED_CONNECTION,
    SendReason.DEADLINE: Outcome.TIMEOUT,
    SendReason.SILENT_CONNECTION: Outcome.SILENT_CONNECTION,
    SendReason.CALLER_GONE: Outcome.CANCELLED,
    SendReason.CALLER_BODY: Outcome.CANCELLED,
    SendReason.CALLER_HEAD: Outcome.CANCELLED,
    SendReason.BROKEN: Outcome.ERROR,
    SendReason.PROTOCOL: Outcome.ERROR,
}


class Attempt:
    """Tells placement and health how one try ended.

    Parameters
    ----------
    service : Service
        Where the request goes.
    placement : Placement
        The chosen target.
    health : HealthReporter
        Takes the outcome.
    clock : Clock
        Times the answer.
    """

    __slots__ = ("service", "placement", "_health", "_clock", "_started", "latency_s")

    def __init__(
        self,
        service: Service,
        placement: Placement,
        health: HealthReporter,
        clock: Clock,
    ) -> None:
        self.service = service
        self.placement = placement
        self._health = health
        self._clock = clock
        self._started = clock.now()
        self.latency_s = 0.0

    def failed(self, error: SendError, poison_suspect: bool = False) -> Outcome:
        """Record a try without an answer."""
        self.latency_s = self._clock.now() - self._started
        self.placement.done(None)
        outcome = OUTCOMES.get(error.reason)
        if outcome is None:
            return Outcome.CANCELLED
        self._record(outcome, poison_suspect)
        return outcome

    def shed(self, response: TargetResponse) -> None:
        """Record an answer that proves that the target did not run the request."""
        self.latency_s = self._clock.now() - self._started
        self.placement.done(self._load(response))
        drains = _has_marker(response.headers, self.service.draining_marker)
        self._record(Outcome.DRAINING if drains else Outcome.SHED)

    def answered(self, response: TargetResponse) -> Outcome:
        """Record the head of an answer; the placement lasts until its end."""
        self.latency_s = self._clock.now() - self._started
        failed = response.status >= FIRST_SERVER_ERROR
        outcome = Outcome.ERROR if failed else Outcome.OK
        self._record(outcome)
        return outcome

    def ended(self, response: TargetResponse, end: AnswerEnd) -> None:
        """Record the end of an answer's body."""
        self.placement.done(self._load(response))
        if end is AnswerEnd.CUT:
            self._record(Outcome.ERROR)

    def is_shed(self, response: TargetResponse, deadline: float) -> bool:
        """Return whether a complete answer carries the service's marker."""
        if not _has_marker(response.headers, self.service.not_run_marker):
            return False
        response.limit_time(deadline)
        for _ in response:
            pass
        return response.end is AnswerEnd.COMPLETE

    def _record(self, outcome: Outcome, poison_suspect: bool = False) -> None:
        target_id = self.placement.target.target_id
        self._health.record(
            self.service.name, target_id, outcome, self.latency_s, poison_suspect
        )

    def _load(self, response: TargetResponse) -> float | None:
        share = _number(response.headers)
        return None if share is None else share * self.placement.target.slots


def _has_marker(headers: Headers, marker: str) -> bool:
    name, _, value = marker.partition(":")
    return bool(name) and headers.get(name.strip()) == value.strip()


def _number(headers: Headers) -> float | None:
    try:
        share = float(headers.get(LOAD_HEADER) or "")
    except ValueError:
        return None
    return share if 0.0 <= share < 1000.0 else None
