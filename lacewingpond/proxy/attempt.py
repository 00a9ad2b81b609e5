"""One attempt to send a request to one target."""

from lacewingpond.config.model import Service
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.headers import Headers
from lacewingpond.placement.placement import Placement
from lacewingpond.targets.errors import SendError, SendReason
from lacewingpond.targets.response import ResponseEnd, TargetResponse
from lacewingpond.util.clock import Clock

LOAD_HEADER = "Lacewingpond-Load"
FIRST_SERVER_ERROR = 500

OUTCOME_BY_REASON = {
    SendReason.CONNECT: Outcome.REFUSED_CONNECTION,
    SendReason.DEADLINE: Outcome.TIMEOUT,
    SendReason.SILENT_CONNECTION: Outcome.SILENT_CONNECTION,
    SendReason.CALLER_DISCONNECTED: Outcome.CANCELLED,
    SendReason.CALLER_BODY: Outcome.CANCELLED,
    SendReason.CALLER_HEADERS: Outcome.CANCELLED,
    SendReason.BROKEN: Outcome.ERROR,
    SendReason.PROTOCOL: Outcome.ERROR,
}


class Attempt:
    """Reports to placement and health how one attempt ended.

    An attempt counts as two outcomes if the response body is cut off: that of the
    headers, and `Outcome.ERROR`.

    Parameters
    ----------
    service : Service
        The service that the request is for.
    placement : Placement
        The chosen target.
    health : HealthReporter
        Receives the outcome.
    clock : Clock
        Measures the latency.

    Attributes
    ----------
    latency_s : float
        Time until the response headers or the failure, in seconds; 0 before.
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

    def record_failure(self, error: SendError, poison_suspect: bool = False) -> Outcome:
        """Record an attempt without a response and return its outcome.

        Reasons that are not in `OUTCOME_BY_REASON` are unrelated to the target and
        are not reported to health.
        """
        self.latency_s = self._clock.now() - self._started
        self.placement.done(None)
        outcome = OUTCOME_BY_REASON.get(error.reason)
        if outcome is None:
            return Outcome.CANCELLED
        self._record(outcome, poison_suspect)
        return outcome

    def record_shed(self, response: TargetResponse) -> None:
        """Record a response with the marker of a request that did not run."""
        self.latency_s = self._clock.now() - self._started
        self.placement.done(self._reported_load(response))
        draining = _has_marker(response.headers, self.service.draining_marker)
        self._record(Outcome.DRAINING if draining else Outcome.SHED)

    def record_response(self, response: TargetResponse) -> Outcome:
        """Record the response headers and return the outcome.

        The placement stays open until `record_end`.
        """
        self.latency_s = self._clock.now() - self._started
        failed = response.status >= FIRST_SERVER_ERROR
        outcome = Outcome.ERROR if failed else Outcome.OK
        self._record(outcome)
        return outcome

    def record_end(self, response: TargetResponse, end: ResponseEnd) -> None:
        """Record the end of the response body."""
        self.placement.done(self._reported_load(response))
        if end is ResponseEnd.CUT:
            self._record(Outcome.ERROR)

    def confirm_shed(self, response: TargetResponse, deadline: float) -> bool:
        """Read a response with the service's not-run marker to its end.

        Returns
        -------
        bool
            Whether it has the marker and is complete; a response without the marker
            is not read.

        Raises
        ------
        TruncatedResponseError
            When a response with the marker ends early or passes `deadline`.
        """
        if not _has_marker(response.headers, self.service.not_run_marker):
            return False
        response.set_deadline(deadline)
        for _ in response:
            pass
        return response.end is ResponseEnd.COMPLETE

    def _record(self, outcome: Outcome, poison_suspect: bool = False) -> None:
        target_id = self.placement.target.target_id
        self._health.record(
            self.service.name, target_id, outcome, self.latency_s, poison_suspect
        )

    def _reported_load(self, response: TargetResponse) -> float | None:
        share = _load_share(response.headers)
        return None if share is None else share * self.placement.target.slots


def _has_marker(headers: Headers, marker: str) -> bool:
    name, _, value = marker.partition(":")
    return bool(name) and headers.get(name.strip()) == value.strip()


def _load_share(headers: Headers) -> float | None:
    try:
        share = float(headers.get(LOAD_HEADER) or "")
    except ValueError:
        return None
    return share if 0.0 <= share < 1000.0 else None
