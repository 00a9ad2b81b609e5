"""Brings one request to a target and its answer back."""

from collections.abc import Iterator
from enum import Enum

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.requests.quarantine import Quarantine
from lacewingpond.entry.requests.refusal import Refusal
from lacewingpond.entry.requests.routed_request import Task
from lacewingpond.entry.targets.health import (
    BROKEN_EVIDENCE,
    ERROR_EVIDENCE,
    LATE_EVIDENCE,
    HealthStatus,
)
from lacewingpond.entry.targets.placer import Placer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.http.response import Response
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import (
    AnswerCutError,
    SendError,
    SendFailure,
    SendReason,
)
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_HELD_BYTES = 262_144  # whole answers up to here are checked before they go on
MAX_UNREACHED = 4  # targets that could not be connected to, before giving up
RETRY_LEAST_S = 0.05  # a target can't answer in less
BUSY_RETRY_S = 0.6  # about the time in which a busy target ends a request
IDLE_RETRY_S = 0.15  # when targets refuse though they have room, others may not
FULL_LOAD = 0.9  # known requests for each slot above which a service counts as busy
QUARANTINE_RETRY_S = 30.0  # half of the time for which a request stays stopped
MISDIRECTED = 421
GATEWAY_TIMEOUT = 504
FIRST_SERVER_ERROR = 500

BLAMELESS = frozenset(
    {
        SendReason.CALLER_GONE,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEAD,
        SendReason.OWNERSHIP_LOST,
        SendReason.BUDGET,
    }
)
"""Ends of an exchange that say nothing about the target."""
FINAL = frozenset(
    {
        SendReason.CALLER_GONE,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEAD,
        SendReason.OWNERSHIP_LOST,
    }
)
"""Ends of an exchange after which no other target would serve better."""


LATE = frozenset({SendReason.DEADLINE, SendReason.SILENT_CONNECTION})
"""Ends of an exchange for want of an answer in time."""


class Fate(Enum):
    """What is known of an attempt without an answer to pass on."""

    UNREACHED = "unreached"
    """No byte has left this VM."""
    NOT_RUN = "not-run"
    """The target said that it did not run the request."""
    UNKNOWN = "unknown"
    """The target may have run it."""


class Failure(Struct, frozen=True):
    """An attempt without an answer to pass on.

    Parameters
    ----------
    fate : Fate
        What is known of it.
    refusal : Refusal
        The answer to the client if no other attempt is made.
    final : bool
        Whether no other target would serve better.
    paid : bool
        Whether the next attempt was taken from the retry budget already.
    """

    fate: Fate
    refusal: Refusal
    final: bool = False
    paid: bool = False


class DeliveryParts(Struct, frozen=True):
    """What deliveries share."""

    names: HeaderNames
    placer: Placer
    reporter: OutcomeReporter
    client: TargetClient
    retries: RetryBudget
    quarantine: Quarantine
    clock: Clock
    log: DecisionLog


class Delivery:
    """Sends one request to one target after another until one answers.

    A non-idempotent request goes to another target only after proof that no earlier
    one runs it: no byte has left, or the target said so.

    Parameters
    ----------
    parts : DeliveryParts
        What deliveries share.
    task : Task
        The request.
    """

    __slots__ = ("_parts", "_task", "_tried", "_reached", "_may_have_run")
    __slots__ += ("_last_failure", "_reused")

    def __init__(self, parts: DeliveryParts, task: Task) -> None:
        self._parts = parts
        self._task = task
        self._tried: set[str] = set()
        self._reached = 0
        self._may_have_run = False
        self._last_failure: Failure | None = None
        self._reused = False

    def run(self) -> Result[Response, Refusal]:
        """Return a target's answer, or why there is none."""
        if self._parts.quarantine.is_stopped(self._task.fingerprint):
            return Err(_quarantined())
        self._parts.retries.earn(self._task.service)
        while True:
            state = self._parts.placer.pick(
                self._task.service, self._tried, self._is_repeatable()
            )
            if state is None:
                return Err(self._give_up())
            outcome = self._attempt(state)
            if outcome.is_ok():
                return outcome
            failure = outcome.err_value
            self._may_have_run |= failure.fate is Fate.UNKNOWN
            self._last_failure = failure
            if not self._may_try_again(failure):
                return Err(self._give_up())
            if self._parts.quarantine.is_stopped(self._task.fingerprint):
                return Err(self._give_up())

    def _attempt(self, state: TargetState) -> Result[Response, Failure]:
        parts, task = self._parts, self._task
        target_id = state.instance.target_id
        self._tried.add(target_id)
        started = parts.clock.now()
        state.in_flight += 1
        try:
            outcome = self._exchange(state, started)
        finally:
            state.in_flight -= 1
        took_ms = round((parts.clock.now() - started) * 1000.0)
        if outcome.is_ok():
            why = str(outcome.ok_value.status)
        else:
            why = outcome.err_value.refusal.reason
        parts.log.decision(
            "attempt",
            task.request_id,
            why,
            target=target_id,
            ms=took_ms,
            conn="kept" if self._reused else "new",
        )
        return outcome

    def _exchange(
        self, state: TargetState, started: float
    ) -> Result[Response, Failure]:
        request = self._task.attempt(
            self._parts.names.expected_target, state.instance.target_id
        )
        standing = state.health.status(started)
        on_trial = standing is HealthStatus.EJECTED
        deadline = self._attempt_deadline(state)
        sent = self._parts.client.send(state.target, request, deadline)
        if sent.is_err():
            self._reused = sent.err_value.reused
            return Err(self._not_answered(state, sent.err_value, started))
        self._reached += 1
        state.note_reachable()
        response = sent.ok_value
        self._reused = response.reused
        passes_on = False
        try:
            response.limit_time(deadline)
            outcome = self._take(state, response, started, on_trial)
            passes_on = outcome.is_ok() and response.end is None
            return outcome
        except AnswerCutError as exc:
            if exc.reason is SendReason.BROKEN:
                self._parts.quarantine.note_crash(self._task.fingerprint)
            if exc.reason is not SendReason.CALLER_GONE:
                why = f"cut: {exc.reason.value}"
                self._blame(state, why, exc.reason in LATE, started)
            status = 504 if exc.reason is SendReason.DEADLINE else 502
            detail = "The target's answer was cut short."
            return Err(_failed(Refusal.unknown(status, "answer-cut", detail)))
        finally:
            if not passes_on:
                response.close()

    def _take(
        self,
        state: TargetState,
        response: TargetResponse,
        started: float,
        on_trial: bool,
    ) -> Result[Response, Failure]:
        names = self._parts.names
        if response.headers.get(names.not_run) or response.status == MISDIRECTED:
            return Err(self._not_run(state, response))
        if not self._is_genuine(response):
            self._parts.reporter.record_failure(state, "not an answer", BROKEN_EVIDENCE)
            detail = "The target's answer can't be trusted."
            return Err(_failed(Refusal.unknown(502, "bad-answer", detail)))
        blocks, size = [], 0
        for block in response:
            blocks.append(block)
            size += len(block)
            if size > MAX_HELD_BYTES:
                return Ok(self._streamed(response, blocks))
        failed = response.status >= FIRST_SERVER_ERROR
        if failed:
            why = str(response.status)
            if response.status == GATEWAY_TIMEOUT:
                self._blame(state, why, True, started)
            else:
                self._parts.reporter.record_failure(state, why, ERROR_EVIDENCE)
        else:
            self._parts.reporter.record_success(state, on_trial)
        self._parts.quarantine.note_answer(self._task.fingerprint)
        answer = Response(
            response.status, response.headers, b"".join(blocks), response.reason
        )
        if failed and self._may_replace():
            detail = "The target answered with an error."
            refusal = Refusal.unknown(502, "target-error", detail)
            return Err(Failure(Fate.UNKNOWN, refusal, paid=True))
        return Ok(answer)

    def _streamed(self, response: TargetResponse, blocks: list[bytes]) -> Response:
        def body() -> Iterator[bytes]:
            try:
                yield from blocks
                yield from response
            finally:
                response.close()

        return Response(response.status, response.headers, body(), response.reason)

    def _is_genuine(self, response: TargetResponse) -> bool:
        names = self._parts.names
        headers = response.headers
        return (
            headers.get(names.request_id) == self._task.request_id
            and bool(headers.get(names.signature))
            and "Content-Encoding" not in headers
        )

    def _not_run(self, state: TargetState, response: TargetResponse) -> Failure:
        if response.status == MISDIRECTED:
            # The address belongs to another target now.
            self._parts.reporter.record_failure(state, "misdirected", BROKEN_EVIDENCE)
            reason, detail = "misdirected", "The target has gone."
        else:
            reason, detail = "target-busy", "The target takes no more work now."
        refusal = Refusal.not_run(503, reason, detail, self._retry_s())
        return Failure(Fate.NOT_RUN, refusal)

    def _not_answered(
        self, state: TargetState, error: SendError, started: float
    ) -> Failure:
        reason = error.reason
        final = reason in FINAL
        if error.failure is SendFailure.NOT_SENT:
            if reason is SendReason.CONNECT:
                state.note_unreachable(self._parts.clock.now())
            refusal = _unreached(reason, self._retry_s())
            return Failure(Fate.UNREACHED, refusal, final)
        self._reached += 1
        if reason is SendReason.BROKEN:
            self._parts.quarantine.note_crash(self._task.fingerprint)
        if reason not in BLAMELESS:
            self._blame(state, reason.value, reason in LATE, started)
        return Failure(Fate.UNKNOWN, _unanswered(reason), final)

    def _blame(self, state: TargetState, why: str, late: bool, started: float) -> None:
        """Tell that a target gave no answer; a short time-out is no evidence."""
        if not late:
            self._parts.reporter.record_failure(state, why, BROKEN_EVIDENCE)
            return
        took_s = self._parts.clock.now() - started
        blame = LATE_EVIDENCE if took_s >= self._task.route.target_latency_s else 0.0
        # What held the answer up may be over since.
        self._parts.reporter.record_failure(state, why, blame, took_s)

    def _retry_s(self) -> float:
        """Return when a client should come back: soon, unless targets are full."""
        load = self._parts.placer.load(self._task.service)
        return BUSY_RETRY_S if load >= FULL_LOAD else IDLE_RETRY_S

    def _may_try_again(self, failure: Failure) -> bool:
        task = self._task
        if failure.paid:
            return True
        if failure.final or not task.body.can_send or not self._has_time():
            return False
        if failure.fate is Fate.UNREACHED:
            return len(self._tried) - self._reached < MAX_UNREACHED
        if self._may_have_run and not task.route.idempotent:
            return False
        return self._pay_for_another()

    def _may_replace(self) -> bool:
        """Return whether another target is asked after an error of this one."""
        task = self._task
        if not task.route.idempotent or not task.body.can_send:
            return False
        return self._has_time() and self._pay_for_another()

    def _is_repeatable(self) -> bool:
        """Return whether the request could go on if the next target fails it."""
        task = self._task
        if not task.route.idempotent or not task.body.can_send:
            return False
        if self._reached + 1 >= task.route.max_attempts or not self._has_time():
            return False
        return self._parts.retries.can_spend(task.service)

    def _attempt_deadline(self, state: TargetState) -> float:
        """Return when this attempt must end.

        A suspect target gets half of the time, so that another one has a chance. A
        sound one gets all of it: what takes long there takes as long elsewhere.
        """
        if state.health.failure_score < LATE_EVIDENCE or not self._is_repeatable():
            return self._task.deadline
        now = self._parts.clock.now()
        return now + (self._task.deadline - now) / 2

    def _has_time(self) -> bool:
        return self._parts.clock.now() + RETRY_LEAST_S < self._task.deadline

    def _pay_for_another(self) -> bool:
        if self._reached >= self._task.route.max_attempts:
            return False
        return self._parts.retries.spend(self._task.service)

    def _give_up(self) -> Refusal:
        if self._last_failure is None:
            detail = "No target of the service takes work."
            return Refusal.not_run(503, "no-target", detail, self._retry_s())
        refusal = self._last_failure.refusal
        if self._may_have_run and self._last_failure.fate is not Fate.UNKNOWN:
            return Refusal.unknown(502, refusal.reason, refusal.detail)
        return refusal


def _failed(refusal: Refusal) -> Failure:
    return Failure(Fate.UNKNOWN, refusal)


def _quarantined() -> Refusal:
    detail = "Earlier runs of this request broke the targets that ran it."
    return Refusal.not_run(503, "quarantined", detail, QUARANTINE_RETRY_S)


def _unreached(reason: SendReason, retry_s: float) -> Refusal:
    if reason in (SendReason.CALLER_BODY, SendReason.CALLER_HEAD):
        return Refusal.not_run(400, reason.value, "The request can't be sent on.")
    if reason is SendReason.OWNERSHIP_LOST:
        detail = "The route or the key changed before the request was sent."
        return Refusal.not_run(503, "route-changed", detail, IDLE_RETRY_S)
    detail = "The request did not reach a target."
    return Refusal.not_run(503, f"unreached-{reason.value}", detail, retry_s)


def _unanswered(reason: SendReason) -> Refusal:
    if reason is SendReason.CALLER_BODY:
        return Refusal.unknown(400, reason.value, "The request's body was cut short.")
    status = (
        504 if reason in (SendReason.DEADLINE, SendReason.SILENT_CONNECTION) else 502
    )
    detail = "The request reached a target, which gave no answer."
    return Refusal.unknown(status, f"unanswered-{reason.value}", detail)
