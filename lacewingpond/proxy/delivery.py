"""One request on its way to targets: its tries, and what is known of its run."""

from typing import Protocol

import msgspec
from result import Err, Ok, Result

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.run_state import RunState
from lacewingpond.placement.placer import Placer
from lacewingpond.proxy.attempt import Attempt
from lacewingpond.proxy.job import Job
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refused import Refused
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.slot import Slot
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.decision import NEVER_RAN, may_retry
from lacewingpond.retries.outcome import SendOutcome
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import (
    AnswerCutError,
    SendError,
    SendFailure,
    SendReason,
)
from lacewingpond.targets.response import AnswerEnd, TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

Answer = Result[TargetResponse, Refused]

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Answers of a target after which an idempotent request goes to another one."""
EVENT_STREAM = "text/event-stream"
MAX_CRASHES = 2
"""Crashes after which a request is sent to no further target."""
FINAL_REASONS = frozenset(
    reason.value
    for reason in (
        SendReason.CALLER_GONE,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEAD,
        SendReason.OWNERSHIP_LOST,
    )
)
"""Reasons for which no other target would serve better."""


class DeliveryParts(Protocol):
    """What all deliveries share."""

    options: ProxyOptions
    placer: Placer
    client: TargetClient
    health: HealthReporter
    retries: RetryBudget
    quarantine: QuarantineService
    clock: Clock
    log: DecisionLog


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
        "_crashes",
        "_last",
        "_refused",
    )

    def __init__(self, parts: DeliveryParts, job: Job, slot: Slot) -> None:
        self.outcome = Outcome.CANCELLED
        self.latency_s = 0.0
        self._parts = parts
        self._job = job
        self._slot = slot
        self._tried: set[str] = set()
        self._may_have_run = False
        self._crashes = 0
        self._last = SendOutcome.NOT_SENT
        self._refused = Refused.not_run(
            503,
            "no-target",
            "No target of the service takes work.",
            parts.options.unavailable_retry_s,
        )

    def run(self) -> Answer:
        """Return the head of an answer, or why there is none."""
        self._parts.retries.earn(self._job.service.name)
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
            self._note_cut(attempt, exc)
            return None

    def _take(
        self, attempt: Attempt, response: TargetResponse
    ) -> TargetResponse | None:
        if attempt.is_shed(response, self._job.deadline):
            self._note_shed(attempt, response)
            return None
        self.outcome = attempt.answered(response)
        self.latency_s = attempt.latency_s
        if response.status in RETRIED_STATUSES and self._may_replace():
            response.close()
            attempt.placement.done(None)
            self._note(SendOutcome.SERVER_ERROR, _server_error(response))
            return None
        self._follow(attempt, response)
        return response

    def _follow(self, attempt: Attempt, response: TargetResponse) -> None:
        slot, outcome = self._slot, self.outcome

        def on_end(end: AnswerEnd) -> None:
            attempt.ended(response, end)
            slot.release(outcome, attempt.latency_s)
            if end is AnswerEnd.COMPLETE:
                self._note_completed()
            elif response.cut_reason is SendReason.BROKEN:
                self._note_crash(attempt)

        if _is_event_stream(response):
            # It lasts for hours and costs its target little; the limit is of work.
            slot.release(outcome, attempt.latency_s)
        if response.end is not None:
            on_end(response.end)
        else:
            response.on_end = on_end

    def _note_completed(self) -> None:
        if self._job.fingerprint:
            self._parts.quarantine.note_completed(
                self._job.fingerprint, self._job.service.name
            )

    def _note_failure(self, attempt: Attempt, error: SendError) -> None:
        suspect = self._parts.quarantine.is_suspect(self._job.fingerprint)
        self.outcome = attempt.failed(error, poison_suspect=suspect)
        self.latency_s = attempt.latency_s
        sent = error.failure is SendFailure.UNKNOWN
        outcome = SendOutcome.NO_ANSWER if sent else SendOutcome.NOT_SENT
        self._note(outcome, _send_refusal(error))
        if sent and error.reason is SendReason.BROKEN:
            self._note_crash(attempt)

    def _note_shed(self, attempt: Attempt, response: TargetResponse) -> None:
        attempt.shed(response)
        self.outcome = Outcome.SHED
        self.latency_s = attempt.latency_s
        refused = Refused.not_run(
            503,
            "target-shed",
            "The target refused the request without running it.",
            self._parts.options.unavailable_retry_s,
        )
        self._note(SendOutcome.PROVED_NOT_RUN, refused)

    def _note_cut(self, attempt: Attempt, exc: AnswerCutError) -> None:
        self.outcome = Outcome.ERROR
        detail = f"The target's answer was cut short ({exc.reason.value})."
        self._note(SendOutcome.NO_ANSWER, Refused.unknown(502, "answer-cut", detail))
        if exc.reason is SendReason.BROKEN:
            self._note_crash(attempt)

    def _note_crash(self, attempt: Attempt) -> None:
        self._crashes += 1
        if self._job.fingerprint:
            self._parts.quarantine.note_crashed(
                self._job.fingerprint,
                self._job.service.name,
                attempt.placement.target.target_id,
            )

    def _note(self, outcome: SendOutcome, refused: Refused) -> None:
        self._last = outcome
        self._refused = refused
        self._may_have_run = self._may_have_run or outcome not in NEVER_RAN

    def _may_try_again(self) -> bool:
        if self._last is SendOutcome.SERVER_ERROR:
            # The answer was given up for a retry that is paid for already.
            return True
        return self._may_send_again(self._last)

    def _may_replace(self) -> bool:
        """Return whether a failed answer may be given up for a retry."""
        return self._has_other_target() and self._may_send_again(
            SendOutcome.SERVER_ERROR
        )

    def _may_send_again(self, outcome: SendOutcome) -> bool:
        if len(self._tried) >= self._parts.options.max_attempts:
            return False
        if self._parts.clock.now() >= self._job.deadline:
            return False
        if self._crashes >= MAX_CRASHES:
            return False
        if not self._job.body.can_send or self._refused.reason in FINAL_REASONS:
            return False
        if not may_retry(self._job.match.route, self._job.method, outcome):
            return False
        # A request that a target refused costs no target any work.
        if outcome in NEVER_RAN and not self._may_have_run:
            return True
        return self._parts.retries.spend(self._job.service.name)

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


def _is_event_stream(response: TargetResponse) -> bool:
    media_type = (response.headers.get("Content-Type") or "").partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM


def _server_error(response: TargetResponse) -> Refused:
    return Refused.unknown(
        502, "target-error", f"A target answered with status {response.status}."
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
    if error.reason in (SendReason.CALLER_BODY, SendReason.CALLER_HEAD):
        return 400
    return 503 if error.reason is SendReason.BUDGET else 502
