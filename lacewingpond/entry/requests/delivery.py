"""Delivery of one request of the entry daemon to a target, with retries.

`lacewingpond.proxy.delivery` has that of the standalone daemon.
"""

from msgspec import Struct, field
from result import Err, Ok, Result

from lacewingpond.entry.admission.base import Admission, AdmitAll
from lacewingpond.entry.header_names import MISDIRECTED, HeaderNames
from lacewingpond.entry.hedging.hedging import Hedging
from lacewingpond.entry.limits.limiter import TargetLimiter
from lacewingpond.entry.model.target_statement import TargetStatement
from lacewingpond.entry.relay.headers import TARGET_HEADER, encode_target
from lacewingpond.entry.relay.reach import Reach
from lacewingpond.entry.relay.sender import RelaySender
from lacewingpond.entry.requests.forwarded_body import read_response
from lacewingpond.entry.requests.hedge import Hedge
from lacewingpond.entry.requests.outcome import (
    FINAL_REASONS,
    FIRST_SERVER_ERROR,
    NOT_RUN_STATUSES,
    AttemptFailure,
    FailureKind,
    Outcome,
    ends_request,
    no_response_refusal,
    not_sent_refusal,
    unproven_refusal,
)
from lacewingpond.entry.requests.quarantine import EntryQuarantine
from lacewingpond.entry.requests.read_ahead import ReadAhead
from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.requests.second_attempts import SecondAttempts
from lacewingpond.entry.requests.target_choice import TargetChoice
from lacewingpond.entry.targets.health import (
    BROKEN_EVIDENCE,
    ERROR_EVIDENCE,
    LATE_EVIDENCE,
    HealthStatus,
)
from lacewingpond.entry.targets.overdue import OverdueRequests, WaitingRequest
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.http.response import Response
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import (
    SendError,
    SendFailure,
    SendReason,
    TruncatedResponseError,
)
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_NOT_SENT_ATTEMPTS = 4  # unsent attempts after which the request is refused
MIN_ATTEMPT_S = 0.05  # no target responds in less
QUARANTINE_RETRY_AFTER_S = 30.0  # half of the time that a quarantine lasts
MAX_LOGGED_CHARS = 200  # of an id in a response
MAX_RELAYS = 2  # a second peer, for an idempotent request that the first one lost
GATEWAY_TIMEOUT = 504

NO_EVIDENCE_REASONS = frozenset(
    {
        SendReason.CALLER_DISCONNECTED,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEADERS,
        SendReason.MAY_NOT_SEND,
        SendReason.CONNECTION_LIMIT,
    }
)
"""Reasons that are no evidence against the target."""
TIMEOUT_REASONS = frozenset(
    {SendReason.DEADLINE, SendReason.SILENT_CONNECTION, SendReason.SUPERSEDED}
)
"""Reasons that mean that no response arrived in time."""


class DeliveryContext(Struct, frozen=True):
    """The components that all deliveries share."""

    names: HeaderNames
    table: TargetTable
    placer: EntryPlacer
    reporter: OutcomeReporter
    overdue: OverdueRequests
    client: TargetClient
    retries: RetryBudget
    quarantine: EntryQuarantine
    limiter: TargetLimiter
    statements: TargetStatements
    reach: Reach
    relay: RelaySender
    clock: Clock
    log: DecisionLog
    hedging: Hedging = field(default_factory=Hedging.off)
    admission: Admission = AdmitAll()
    read_ahead: ReadAhead = field(default_factory=ReadAhead)


class EntryDelivery:
    """Sends one request to one target after another until one responds.

    A non-idempotent request is sent to another target only if it is proved that no
    earlier target ran it: no byte was sent, or the target responded that it did not.

    A target has all the time of the request. An idempotent request whose response is
    overdue may be sent to another target as well; the first response is returned.

    Parameters
    ----------
    context : DeliveryContext
        The components that all deliveries share.
    request : EntryRequest
        The request to deliver.
    """

    __slots__ = ("_context", "_request", "_tried", "_sent_count", "_may_have_run")
    __slots__ += ("_last_failure", "_waiting_count", "_error_response", "_is_urgent")
    __slots__ += ("_targets", "_earned", "_relays_left", "_relayed_count", "_waiting")
    __slots__ += ("_second_attempts",)

    def __init__(self, context: DeliveryContext, request: EntryRequest) -> None:
        self._context = context
        self._request = request
        self._is_urgent = context.admission.is_most_urgent(request)
        self._tried: set[str] = set()
        self._sent_count = 0
        self._may_have_run = False
        self._last_failure: AttemptFailure | None = None
        self._waiting_count = 0
        self._waiting: list[WaitingRequest] = []
        self._error_response: Response | None = None
        self._targets = TargetChoice(
            request,
            self._tried,
            context.placer,
            context.limiter,
            context.clock,
            context.admission,
        )
        self._second_attempts = SecondAttempts(self, context, request, self._targets)
        self._earned = False
        self._relayed_count = 0
        self._relays_left = 0 if request.is_relayed else MAX_RELAYS

    def run(self) -> Result[Response, EntryRefusal]:
        """Return the response of a target, or the refusal if there is none."""
        if self._is_quarantined():
            return Err(_quarantine_refusal())
        while True:
            if self._is_too_late():
                return Err(EntryRefusal.stopping())
            outcome = self._next_attempt()
            if outcome is None:
                return self._give_up()
            if outcome.is_ok() and ends_request(outcome):
                return outcome
            self.record(outcome)
            if not self._take_retry(outcome) or self._is_quarantined():
                return self._give_up()

    def _is_too_late(self) -> bool:
        """Return whether the VM stops, and no target may have run the request yet.

        Sent now, it might be cut at the end of the stop. Its caller can still send it
        to another VM.
        """
        return self._request.is_refused() and not self._may_have_run

    def _next_attempt(self) -> Outcome | None:
        """Return the outcome of a relayed or a direct attempt, None without target."""
        if self.should_relay():
            return self.relayed_attempt()
        if not self._earned:
            self._earned = True
            self._context.retries.earn(self._request.service)
            self._context.hedging.earn(self._request.service, self._request.route)
        state = self._targets.pick(self._is_retryable())
        if state is not None:
            return self._second_attempts.attempt(state)
        return self.relayed_attempt() if self._reached_none() else None

    def should_relay(self) -> bool:
        """Return whether another VM should deliver the request.

        It should if this VM reaches no target, or opened no connection to several.
        """
        if not self._relays_left:
            return False
        return self._context.reach.lost or (
            self._unsent_count() >= MAX_NOT_SENT_ATTEMPTS and not self._may_have_run
        )

    def _reached_none(self) -> bool:
        """Return whether other VMs may reach targets of which this VM reached none."""
        unsent = self._unsent_count()
        return bool(self._relays_left) and 0 < unsent == len(self._tried)

    def _unsent_count(self) -> int:
        """Return the number of targets that got no byte of the request."""
        return len(self._tried) - self._sent_count - self._waiting_count

    def relayed_attempt(self) -> Outcome:
        """Return the outcome of an attempt through another VM."""
        self._relays_left -= 1
        attempts = self.attempt_count()
        outcome = self._context.relay.send(self._request, attempts)
        if outcome.is_ok() or outcome.err_value.kind is FailureKind.UNKNOWN:
            self._relayed_count += 1
        else:
            self._relays_left = 0
        return outcome

    def may_try_beside(self) -> bool:
        """Return whether another target may get the request beside one at work."""
        if not (self._request.body.can_send and self._has_time() and self._can_retry()):
            return False
        failure = self._last_failure
        if failure is not None and failure.final:
            return False
        if self._unsent_count() >= MAX_NOT_SENT_ATTEMPTS:
            return False
        return not self._is_quarantined()

    def begin_beside(self) -> bool:
        """Take a retry for an attempt beside one at work; return False without one."""
        begins = self._spend_retry()
        self._may_have_run |= begins
        return begins

    def record(self, outcome: Outcome) -> None:
        """Keep what an attempt that does not end the request leaves to respond with."""
        if outcome.is_ok():
            self._error_response = outcome.ok_value
            return
        self._last_failure = outcome.err_value
        self._may_have_run |= outcome.err_value.kind is FailureKind.UNKNOWN

    def _give_up(self) -> Result[Response, EntryRefusal]:
        """Return an error response of a target, or the refusal if there is none."""
        if self._error_response is not None:
            return Ok(self._error_response)
        return Err(self._final_refusal())

    def _is_quarantined(self) -> bool:
        return self._context.quarantine.is_quarantined(self._request.fingerprint)

    def attempt(self, state: TargetState, hedge: Hedge | None) -> Outcome:
        """Return the outcome of one attempt at `state`; polls `hedge` once overdue."""
        context, request = self._context, self._request
        target_id = state.spec.target_id
        self._tried.add(target_id)
        request.targets.add(target_id)
        started = context.clock.now()
        passed_over = self._targets.passed_over
        state.in_flight += 1
        why, reused = "cancelled", False
        try:
            outcome, reused = self._exchange(state, started, hedge)
            if outcome.is_ok():
                why = str(outcome.ok_value.status)
            else:
                why = outcome.err_value.refusal.reason
        finally:
            state.in_flight -= 1
            ended = context.clock.now()
            context.log.decision(
                "attempt",
                request.request_id,
                why,
                target=target_id,
                ms=round((ended - started) * 1000.0),
                left_ms=round((request.deadline - ended) * 1000.0),
                conn="kept" if reused else "new",
                **self._targets.limit_fields(state),
                **({"passed_over": passed_over} if passed_over else {}),
            )
        # Not after an exception: what ends the request logs its targets.
        request.targets.discard(target_id)
        return outcome

    def _exchange(
        self, state: TargetState, started: float, hedge: Hedge | None
    ) -> tuple[Outcome, bool]:
        """Return the outcome, and whether the connection was reused."""
        overdue = self._context.overdue
        waiting = overdue.start(state, self._request.route)
        self._waiting.append(waiting)
        try:
            return self._exchange_while(waiting, started, hedge)
        finally:
            self._waiting.remove(waiting)
            overdue.end(waiting)

    def _exchange_while(
        self, waiting: WaitingRequest, started: float, hedge: Hedge | None
    ) -> tuple[Outcome, bool]:
        state = waiting.state
        target_request = self._request.for_target(
            self._context.names.expected_target, state.spec.target_id
        )
        self._second_attempts.watch(target_request, waiting, hedge)
        health_status = state.health.status(started)
        on_trial = health_status is HealthStatus.EJECTED
        deadline = self._request.deadline
        self._waiting_count += 1
        try:
            sent = self._context.client.send(state.target, target_request, deadline)
        finally:
            self._waiting_count -= 1
        if sent.is_err():
            error = sent.err_value
            return Err(self._send_failure(waiting, error)), error.reused
        self._sent_count += 1
        self._context.reach.record_response()
        state.reset_connect_backoff()
        if not sent.ok_value.reused:
            self._context.reach.record_connected()
        response = sent.ok_value
        streaming = False
        try:
            response.set_deadline(deadline)
            outcome = self._handle_response(waiting, response, on_trial)
            streaming = outcome.is_ok() and response.end is None
            return outcome, response.reused
        except TruncatedResponseError as exc:
            if exc.reason is SendReason.BROKEN:
                self._context.quarantine.record_crash(self._request.fingerprint)
            why = f"response ended early: {exc.reason.value}"
            self._report_failure(waiting, exc.reason, why)
            status = 504 if exc.reason is SendReason.DEADLINE else 502
            detail = "The target's response ended early."
            refusal = EntryRefusal.unknown(status, "answer-cut", detail)
            final = exc.reason in FINAL_REASONS
            failure = AttemptFailure(FailureKind.UNKNOWN, refusal, final)
            return Err(failure), response.reused
        finally:
            if not streaming:
                response.close()

    def _handle_response(
        self, waiting: WaitingRequest, response: TargetResponse, on_trial: bool
    ) -> Outcome:
        names = self._context.names
        state, started = waiting.state, waiting.sent_at
        if response.status != GATEWAY_TIMEOUT:
            self._context.overdue.respond(waiting)
        request_id = self._request.request_id
        evidence = self._evidence(state, response)
        if names.states_not_run(
            response.status, response.headers, request_id, state.spec.target_id
        ):
            if response.status == MISDIRECTED:
                return Err(self._misdirected_failure(state, evidence))
            self._observe(state, response, started)
            self._context.reporter.record_rejection(state)
            return Err(self._busy_failure(evidence))
        if not names.is_valid_response(response.headers, request_id):
            self._context.reporter.record_failure(
                state, "invalid response", BROKEN_EVIDENCE
            )
            detail = (
                "The target's response is unsigned, encoded or for another request."
            )
            refusal = EntryRefusal.unknown(502, "bad-answer", detail)
            return Err(_unknown_failure(refusal.with_evidence(**evidence)))
        paused = self._observe(state, response, started).pause_s > 0.0
        forwarded = read_response(response, self._context.read_ahead)
        if response.status in NOT_RUN_STATUSES:
            # The target may have run the request, which this status would deny.
            weight = 0.0 if paused else ERROR_EVIDENCE
            self._context.reporter.record_failure(state, "unproven status", weight)
            refusal = unproven_refusal(response.status)
            return Err(_unknown_failure(refusal.with_evidence(**evidence)))
        if self._request.is_relayed:
            target = encode_target(state.spec.target_id, state.spec.incarnation)
            forwarded.headers.set(TARGET_HEADER, target)
        if not isinstance(forwarded.body, bytes):
            # Neither a success nor a failure of the target is recorded for it.
            return Ok(forwarded)
        if response.status == GATEWAY_TIMEOUT:
            self._record_lateness(waiting, str(response.status))
        elif paused:
            self._context.reporter.record_failure(state, "paused", 0.0)
        elif response.status >= FIRST_SERVER_ERROR:
            why = str(response.status)
            self._context.reporter.record_failure(state, why, ERROR_EVIDENCE)
        else:
            waiting.latency.observe(self._context.clock.now() - started)
            self._second_attempts.supersede(self._waiting, waiting)
            self._context.reporter.record_success(state, on_trial)
        self._context.quarantine.clear_crashes(self._request.fingerprint)
        return Ok(forwarded)

    def _evidence(
        self, state: TargetState, response: TargetResponse
    ) -> dict[str, object]:
        """Return what the log tells about the response on which a refusal rests."""
        ids = response.headers.get_all(self._context.names.request_id)
        return {
            "target": state.spec.target_id,
            "conn": "kept" if response.reused else "new",
            "answer": response.status,
            "answer_ids": [each[:MAX_LOGGED_CHARS] for each in ids],
        }

    def _observe(
        self, state: TargetState, response: TargetResponse, started: float
    ) -> TargetStatement:
        """Record and return what a response says of its target."""
        return self._context.statements.observe(
            state.spec, response.status, response.headers, started
        )

    def _misdirected_failure(
        self, state: TargetState, evidence: dict[str, object]
    ) -> AttemptFailure:
        """Report that another target has taken over the address."""
        self._context.reporter.record_failure(state, "misdirected", BROKEN_EVIDENCE)
        detail = "Another target now uses the address."
        return self._not_run_failure("misdirected", detail, evidence)

    def _busy_failure(self, evidence: dict[str, object]) -> AttemptFailure:
        now, service = self._context.clock.now(), self._request.service
        self._context.hedging.policy.record_rejection(service, now)
        detail = "The target accepts no more requests now."
        return self._not_run_failure("target-busy", detail, evidence)

    def _not_run_failure(
        self, reason: str, detail: str, evidence: dict[str, object]
    ) -> AttemptFailure:
        refusal = EntryRefusal.not_run(
            503, reason, detail, self._targets.retry_after_s()
        ).with_evidence(**evidence)
        return AttemptFailure(FailureKind.NOT_RUN, refusal)

    def _send_failure(
        self, waiting: WaitingRequest, error: SendError
    ) -> AttemptFailure:
        """Return the failure of an attempt without a response, and report it."""
        state, reason = waiting.state, error.reason
        final = reason in FINAL_REASONS
        if error.failure is SendFailure.NOT_SENT:
            self._context.overdue.respond(waiting)
            if reason is SendReason.CONNECT:
                state.record_connect_failure(self._context.clock.now())
                self._context.reach.record_connect_failure(
                    state.spec.target_id, waiting.sent_at
                )
            self._log_unreached(state, error)
            refusal = not_sent_refusal(reason, self._targets.retry_after_s())
            return AttemptFailure(FailureKind.NOT_SENT, refusal, final)
        self._sent_count += 1
        if reason is SendReason.BROKEN:
            self._context.quarantine.record_crash(self._request.fingerprint)
        self._report_failure(waiting, reason, reason.value)
        return AttemptFailure(FailureKind.UNKNOWN, no_response_refusal(reason), final)

    def _log_unreached(self, state: TargetState, error: SendError) -> None:
        """Log why no connection was opened, and how many others are open but unused."""
        if error.reason is not SendReason.CONNECT:
            return
        client = self._context.client
        ready = self._context.table.ready(self._request.service)
        self._context.log.decision(
            "unreached",
            self._request.request_id,
            error.detail,
            target=state.spec.target_id,
            idle=sum(client.idle_connections(other.target) for other in ready),
        )

    def _report_failure(
        self, waiting: WaitingRequest, reason: SendReason, why: str
    ) -> None:
        """Report a failed attempt as evidence against its target."""
        if reason in NO_EVIDENCE_REASONS:
            return
        if reason in TIMEOUT_REASONS:
            self._record_lateness(waiting, why)
        else:
            self._context.reporter.record_failure(waiting.state, why, BROKEN_EVIDENCE)

    def _record_lateness(self, waiting: WaitingRequest, why: str) -> None:
        """Report a late response, as far as its wait was no evidence yet.

        Lateness below the latency objective of the route is none.
        """
        took_s = self._context.clock.now() - waiting.sent_at
        is_evidence = took_s >= self._request.route.target_latency_s
        evidence = max(LATE_EVIDENCE - waiting.evidence, 0.0) if is_evidence else 0.0
        # The cause of the delay may be over, so the evidence is as old as the request.
        self._context.reporter.record_failure(waiting.state, why, evidence, took_s)

    def _take_retry(self, outcome: Outcome) -> bool:
        """Return whether to try another target; a retry charges the retry budget.

        None is charged if no byte reached the target.
        """
        request = self._request
        if not request.body.can_send or not self._has_time():
            return False
        if outcome.is_err():
            failure = outcome.err_value
            if failure.final:
                return False
            if failure.kind is FailureKind.NOT_SENT:
                return self._may_try_unsent()
        may_have_run = self._may_have_run or outcome.is_ok()
        if may_have_run and not request.route.idempotent:
            return False
        return self._spend_retry()

    def _may_try_unsent(self) -> bool:
        """Return whether to go on after an attempt of which no byte was sent."""
        limit = 1 if self._context.reach.lost else MAX_NOT_SENT_ATTEMPTS
        return self.should_relay() or self._unsent_count() < limit

    def _is_retryable(self) -> bool:
        """Return whether the request can be retried if the next target fails."""
        request = self._request
        if not request.route.idempotent or not request.body.can_send:
            return False
        attempts = self.attempt_count() + 1
        if attempts >= request.route.max_attempts or not self._has_time():
            return False
        return self._context.retries.can_spend(request.service, self._is_urgent)

    def _has_time(self) -> bool:
        return self._context.clock.now() + MIN_ATTEMPT_S < self._request.deadline

    def attempt_count(self) -> int:
        """Return the number of targets that may have got the request, on any VM."""
        here = self._sent_count + self._waiting_count
        return here + self._relayed_count + self._request.attempts_elsewhere

    def _spend_retry(self) -> bool:
        return self._can_retry() and self._context.retries.spend(self._request.service)

    def _can_retry(self) -> bool:
        if self.attempt_count() >= self._request.route.max_attempts:
            return False
        return self._context.retries.can_spend(self._request.service, self._is_urgent)

    def _final_refusal(self) -> EntryRefusal:
        if self._last_failure is None:
            return self._targets.no_target_refusal()
        refusal = self._last_failure.refusal
        if self._may_have_run and self._last_failure.kind is not FailureKind.UNKNOWN:
            unknown = EntryRefusal.unknown(502, refusal.reason, refusal.detail)
            return unknown.with_evidence(**refusal.evidence)
        return refusal


def _unknown_failure(refusal: EntryRefusal) -> AttemptFailure:
    return AttemptFailure(FailureKind.UNKNOWN, refusal)


def _quarantine_refusal() -> EntryRefusal:
    detail = "Targets crashed during earlier runs of this request."
    return EntryRefusal.not_run(503, "quarantined", detail, QUARANTINE_RETRY_AFTER_S)
