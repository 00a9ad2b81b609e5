"""Delivery of one request: attempts, retries and whether it may have run."""

from typing import Protocol

import msgspec
from result import Err, Ok, Result

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.run_state import RunState
from lacewingpond.placement.placer import Placer
from lacewingpond.proxy.attempt import Attempt
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refusal import Refusal
from lacewingpond.proxy.routed_request import RoutedRequest
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.slot import Slot
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.decision import NEVER_RAN, may_retry
from lacewingpond.retries.outcome import SendOutcome
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import (
    SendError,
    SendFailure,
    SendReason,
    TruncatedResponseError,
)
from lacewingpond.targets.response import ResponseEnd, TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

DeliveryResult = Result[TargetResponse, Refusal]

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
"""Response statuses after which an idempotent request is retried."""
EVENT_STREAM = "text/event-stream"
MAX_CRASHES = 2
"""Target crashes during a request after which it is not retried."""
FINAL_REASONS = frozenset(
    reason.value
    for reason in (
        SendReason.CALLER_DISCONNECTED,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEADERS,
        SendReason.MAY_NOT_SEND,
    )
)
"""Failures that another target would not avoid, so there is no retry."""


class DeliveryContext(Protocol):
    """Dependencies that all deliveries share."""

    options: ProxyOptions
    placer: Placer
    client: TargetClient
    health: HealthReporter
    retries: RetryBudget
    quarantine: QuarantineService
    clock: Clock
    log: DecisionLog


class Delivery:
    """Sends one request to one target after another until one responds.

    A request that a target may have run is retried only if it is idempotent; one
    that no target can have run is retried whatever its method.

    Parameters
    ----------
    context : DeliveryContext
        Dependencies of the delivery.
    request : RoutedRequest
        The request.
    slot : Slot
        The request's slot in the service's concurrency limit. It is released here
        if there is a response, and by the dispatcher if there is none.

    Attributes
    ----------
    outcome : Outcome
        How the last attempt ended.
    latency_s : float
        Latency of the last attempt, in seconds.
    """

    __slots__ = (
        "outcome",
        "latency_s",
        "_context",
        "_request",
        "_slot",
        "_tried",
        "_may_have_run",
        "_crashes",
        "_last_outcome",
        "_last_refusal",
    )

    def __init__(
        self, context: DeliveryContext, request: RoutedRequest, slot: Slot
    ) -> None:
        self.outcome = Outcome.CANCELLED
        self.latency_s = 0.0
        self._context = context
        self._request = request
        self._slot = slot
        self._tried: set[str] = set()
        self._may_have_run = False
        self._crashes = 0
        self._last_outcome = SendOutcome.NOT_SENT
        self._last_refusal = Refusal.not_run(
            503,
            "no-target",
            "No target of the service accepts requests.",
            context.options.unavailable_retry_s,
        )

    def run(self) -> DeliveryResult:
        """Return a response whose headers have arrived, or a refusal."""
        self._context.retries.earn(self._request.service.name)
        while True:
            chosen = self._context.placer.pick(
                self._request.service.name, frozenset(self._tried)
            )
            if chosen.is_err():
                return Err(self._final_refusal())
            attempt = Attempt(
                self._request.service,
                chosen.ok_value,
                self._context.health,
                self._context.clock,
            )
            self._tried.add(attempt.placement.target.target_id)
            response = self._send(attempt)
            if response is not None:
                return Ok(response)
            if not self._should_retry():
                return Err(self._final_refusal())
            self._log_retry(attempt)

    def _send(self, attempt: Attempt) -> TargetResponse | None:
        target = attempt.placement.target
        try:
            sent = self._context.client.send(
                target, self._request.attempt(), self._request.deadline
            )
        except BaseException:
            attempt.placement.done(None)
            raise
        if sent.is_err():
            self._on_send_error(attempt, sent.err_value)
            return None
        response = sent.ok_value
        try:
            return self._handle_response(attempt, response)
        except TruncatedResponseError as exc:
            attempt.placement.done(None)
            self._on_truncated(attempt, exc)
            return None

    def _handle_response(
        self, attempt: Attempt, response: TargetResponse
    ) -> TargetResponse | None:
        if attempt.confirm_shed(response, self._request.deadline):
            self._on_shed(attempt, response)
            return None
        self.outcome = attempt.record_response(response)
        self.latency_s = attempt.latency_s
        if response.status in RETRYABLE_STATUSES and self._may_discard():
            response.close()
            attempt.placement.done(None)
            self._record(SendOutcome.SERVER_ERROR, _server_error(response))
            return None
        self._track_end(attempt, response)
        return response

    def _track_end(self, attempt: Attempt, response: TargetResponse) -> None:
        slot, outcome = self._slot, self.outcome

        def on_end(end: ResponseEnd) -> None:
            attempt.record_end(response, end)
            slot.release(outcome, attempt.latency_s)
            if end is ResponseEnd.COMPLETE:
                self._report_completed()
            elif response.cut_reason is SendReason.BROKEN:
                self._report_crash(attempt)

        if _is_event_stream(response):
            # An event stream stays open for hours but costs its target little, so it
            # must not occupy a slot of the concurrency limit.
            slot.release(outcome, attempt.latency_s)
        if response.end is not None:
            on_end(response.end)
        else:
            response.on_end = on_end

    def _report_completed(self) -> None:
        if self._request.fingerprint:
            self._context.quarantine.note_completed(
                self._request.fingerprint, self._request.service.name
            )

    def _on_send_error(self, attempt: Attempt, error: SendError) -> None:
        suspect = self._context.quarantine.is_suspect(self._request.fingerprint)
        self.outcome = attempt.record_failure(error, poison_suspect=suspect)
        self.latency_s = attempt.latency_s
        sent = error.failure is SendFailure.UNKNOWN
        outcome = SendOutcome.NO_RESPONSE if sent else SendOutcome.NOT_SENT
        self._record(outcome, _send_refusal(error))
        if sent and error.reason is SendReason.BROKEN:
            self._report_crash(attempt)

    def _on_shed(self, attempt: Attempt, response: TargetResponse) -> None:
        attempt.record_shed(response)
        self.outcome = Outcome.SHED
        self.latency_s = attempt.latency_s
        refusal = Refusal.not_run(
            503,
            "target-shed",
            "The target refused the request without running it.",
            self._context.options.unavailable_retry_s,
        )
        self._record(SendOutcome.PROVED_NOT_RUN, refusal)

    def _on_truncated(self, attempt: Attempt, exc: TruncatedResponseError) -> None:
        self.outcome = Outcome.ERROR
        detail = f"The target's response ended early ({exc.reason.value})."
        self._record(
            SendOutcome.NO_RESPONSE, Refusal.unknown(502, "answer-cut", detail)
        )
        if exc.reason is SendReason.BROKEN:
            self._report_crash(attempt)

    def _report_crash(self, attempt: Attempt) -> None:
        self._crashes += 1
        if self._request.fingerprint:
            self._context.quarantine.note_crashed(
                self._request.fingerprint,
                self._request.service.name,
                attempt.placement.target.target_id,
            )

    def _record(self, outcome: SendOutcome, refusal: Refusal) -> None:
        self._last_outcome = outcome
        self._last_refusal = refusal
        self._may_have_run = self._may_have_run or outcome not in NEVER_RAN

    def _should_retry(self) -> bool:
        if self._last_outcome is SendOutcome.SERVER_ERROR:
            # `_may_discard` has already taken this retry from the retry budget.
            return True
        return self._may_resend(self._last_outcome)

    def _may_discard(self) -> bool:
        """Return whether to retry instead of returning this failed response.

        A retry that is granted here is taken from the retry budget.
        """
        return self._has_other_target() and self._may_resend(SendOutcome.SERVER_ERROR)

    def _may_resend(self, outcome: SendOutcome) -> bool:
        """Return whether to retry after `outcome`, and charge the budget if need be."""
        if len(self._tried) >= self._context.options.max_attempts:
            return False
        if self._context.clock.now() >= self._request.deadline:
            return False
        if self._crashes >= MAX_CRASHES:
            return False
        if (
            not self._request.body.can_send
            or self._last_refusal.reason in FINAL_REASONS
        ):
            return False
        if not may_retry(self._request.match.route, self._request.method, outcome):
            return False
        # Such a request cost no target any work, so the budget is not charged.
        if outcome in NEVER_RAN and not self._may_have_run:
            return True
        return self._context.retries.spend(self._request.service.name)

    def _has_other_target(self) -> bool:
        return any(
            target.target_id not in self._tried and not target.draining
            for target in self._request.service.targets
        )

    def _final_refusal(self) -> Refusal:
        # The last attempt alone does not decide: an earlier one may have run it.
        if not self._may_have_run or self._last_refusal.run is RunState.UNKNOWN:
            return self._last_refusal
        return msgspec.structs.replace(self._last_refusal, run=RunState.UNKNOWN)

    def _log_retry(self, attempt: Attempt) -> None:
        self._context.log.decision(
            "retry",
            self._request.match.route.name,
            self._last_refusal.reason,
            target=attempt.placement.target.target_id,
            tried=len(self._tried),
        )


def _is_event_stream(response: TargetResponse) -> bool:
    media_type = (response.headers.get("Content-Type") or "").partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM


def _server_error(response: TargetResponse) -> Refusal:
    return Refusal.unknown(
        502, "target-error", f"A target responded with status {response.status}."
    )


def _send_refusal(error: SendError) -> Refusal:
    reason = error.reason.value
    if error.failure is SendFailure.NOT_SENT:
        return Refusal.not_run(
            _status(error), reason, "The request did not reach a target.", 1.0
        )
    return Refusal.unknown(
        _status(error), reason, "The request reached a target, which did not respond."
    )


def _status(error: SendError) -> int:
    if error.reason in (SendReason.DEADLINE, SendReason.SILENT_CONNECTION):
        return 504
    if error.reason in (SendReason.CALLER_BODY, SendReason.CALLER_HEADERS):
        return 400
    return 503 if error.reason is SendReason.CONNECTION_LIMIT else 502
