"""One request on its way to targets: its tries, and what is known of its run."""

from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Err, Ok, Result

from lacewingpond.health.outcome import Outcome
from lacewingpond.http.refusal import RunState
from lacewingpond.proxy.attempt import Attempt
from lacewingpond.proxy.job import Job
from lacewingpond.proxy.refused import Refused
from lacewingpond.queues.slot import Slot
from lacewingpond.targets.errors import (
    AnswerCutError,
    SendError,
    SendFailure,
    SendReason,
)
from lacewingpond.targets.response import TargetResponse

if TYPE_CHECKING:
    from lacewingpond.proxy.dispatcher import Dispatcher

Answer = Result[TargetResponse, Refused]

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Answers of an idempotent request after which another target is tried."""


class RetryLimit(Protocol):
    """Bounds how much retries add to the load."""

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        ...

    def try_retry(self) -> bool:
        """Take the right to one retry; False when there is none."""
        ...


class Delivery:
    """Sends one request to one target after another until one answers.

    A request that a target may have run is sent again only if it is idempotent;
    one that no target can have run is sent again whatever its method.

    Attributes
    ----------
    outcome : Outcome
        How the last try ended.
    latency_s : float
        Time of the last try, in seconds.
    """

    __slots__ = (
        "outcome",
        "latency_s",
        "_parts",
        "_job",
        "_slot",
        "_tried",
        "_may_have_run",
        "_refused",
    )

    def __init__(self, parts: "Dispatcher", job: Job, slot: Slot) -> None:
        self.outcome = Outcome.CANCELLED
        self.latency_s = 0.0
        self._parts = parts
        self._job = job
        self._slot = slot
        self._tried: set[str] = set()
        self._may_have_run = False
        self._refused = Refused.not_run(
            503,
            "no-target",
            "No target of the service takes work.",
            parts.options.unavailable_retry_s,
        )

    def run(self) -> Answer:
        """Return the head of an answer, or why there is none."""
        self._parts.retries.record_request()
        while True:
            chosen = self._parts.placer.pick(
                self._job.service.name, frozenset(self._tried)
            )
            if chosen.is_err():
                return Err(self._refusal())
            attempt = Attempt(
                self._job.service,
                chosen.ok_value,
                self._parts.health,
                self._parts.clock,
            )
            self._tried.add(attempt.placement.target.target_id)
            response = self._try(attempt)
            if response is not None:
                return Ok(response)
            if not self._may_try_again():
                return Err(self._refusal())
            self._log_retry(attempt)

    def _try(self, attempt: Attempt) -> TargetResponse | None:
        target = attempt.placement.target
        try:
            sent = self._parts.client.send(
                target, self._job.attempt(), self._job.deadline
            )
        except BaseException:
            attempt.placement.done(None)
            raise
        if sent.is_err():
            self._note_failure(attempt, sent.err_value)
            return None
        response = sent.ok_value
        try:
            return self._take(attempt, response)
        except AnswerCutError as exc:
            attempt.placement.done(None)
            self._note_cut(exc)
            return None

    def _take(
        self, attempt: Attempt, response: TargetResponse
    ) -> TargetResponse | None:
        if attempt.is_shed(response):
            self._note_shed(attempt, response)
            return None
        self.outcome = attempt.answered(response)
        self.latency_s = attempt.latency_s
        if response.status in RETRIED_STATUSES and self._take_retry():
            response.close()
            attempt.placement.done(None)
            self._may_have_run = True
            self._refused = _server_error(response)
            return None
        self._follow(attempt, response)
        return response

    def _follow(self, attempt: Attempt, response: TargetResponse) -> None:
        slot, outcome = self._slot, self.outcome

        def on_end(end) -> None:
            attempt.ended(response, end)
            slot.release(outcome, attempt.latency_s)

        if response.end is not None:
            on_end(response.end)
        else:
            response.on_end = on_end

    def _note_failure(self, attempt: Attempt, error: SendError) -> None:
        self.outcome = attempt.failed(error)
        self.latency_s = attempt.latency_s
        if error.failure is SendFailure.UNKNOWN:
            self._may_have_run = True
        self._refused = _send_refusal(error)

    def _note_shed(self, attempt: Attempt, response: TargetResponse) -> None:
        attempt.shed(response)
        self.outcome = Outcome.SHED
        self.latency_s = attempt.latency_s
        self._refused = Refused.not_run(
            503,
            "target-shed",
            "The target refused the request without running it.",
            self._parts.options.unavailable_retry_s,
        )

    def _note_cut(self, exc: AnswerCutError) -> None:
        self.outcome = Outcome.ERROR
        self._may_have_run = True
        self._refused = Refused.unknown(
            502,
            "answer-cut",
            f"The target's answer was cut short ({exc.reason.value}).",
        )

    def _may_try_again(self) -> bool:
        if len(self._tried) >= self._parts.options.max_attempts:
            return False
        if self._parts.clock.now() >= self._job.deadline:
            return False
        if not self._job.body.can_send:
            return False
        if self._refused.reason in CALLER_FAULTS:
            return False
        if not self._may_have_run:
            return True
        # A replaced answer has paid for its retry already.
        return self._job.idempotent and (
            self._refused.reason == SERVER_ERROR or self._parts.retries.try_retry()
        )

    def _take_retry(self) -> bool:
        may = (
            self._job.idempotent
            and self._job.body.can_send
            and len(self._tried) < self._parts.options.max_attempts
            and self._has_other_target()
        )
        return may and self._parts.retries.try_retry()

    def _has_other_target(self) -> bool:
        return any(
            target.target_id not in self._tried and not target.draining
            for target in self._job.service.targets
        )

    def _refusal(self) -> Refused:
        if not self._may_have_run or self._refused.run is RunState.UNKNOWN:
            return self._refused
        return msgspec.structs.replace(self._refused, run=RunState.UNKNOWN)

    def _log_retry(self, attempt: Attempt) -> None:
        self._parts.log.decision(
            "retry",
            self._job.match.route.name,
            self._refused.reason,
            target=attempt.placement.target.target_id,
            tried=len(self._tried),
        )


SERVER_ERROR = "target-error"
CALLER_FAULTS = frozenset({SendReason.CALLER_GONE.value, SendReason.CALLER_BODY.value})


def _server_error(response: TargetResponse) -> Refused:
    return Refused.unknown(
        502, SERVER_ERROR, f"A target answered with status {response.status}."
    )


def _send_refusal(error: SendError) -> Refused:
    reason = error.reason.value
    if error.failure is SendFailure.NOT_SENT:
        return Refused.not_run(
            _status(error), reason, "The request did not reach a target.", 1.0
        )
    return Refused.unknown(
        _status(error), reason, "The request reached a target, which gave no answer."
    )


def _status(error: SendError) -> int:
    if error.reason in (SendReason.DEADLINE, SendReason.SILENT_CONNECTION):
        return 504
    if error.reason is SendReason.CALLER_BODY:
        return 400
    return 503 if error.reason is SendReason.BUDGET else 502
