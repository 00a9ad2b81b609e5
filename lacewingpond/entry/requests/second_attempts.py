"""Attempts of one request beside one that waits for its target.

They start if the target seems to hang, or, within the limit on extra requests, if the
response is slow for its route (`lacewingpond.entry.hedging`).
"""

from typing import TYPE_CHECKING

from lacewingpond.entry.hedging.policy import HedgeRefusal, SlowRequest
from lacewingpond.entry.hedging.targets import unfit_for_hedge
from lacewingpond.entry.requests.hedge import Attempt, Hedge
from lacewingpond.entry.requests.outcome import FailureKind, Outcome, ends_request
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.requests.target_choice import TargetChoice
from lacewingpond.entry.targets.health import HealthStatus
from lacewingpond.entry.targets.overdue import WaitingRequest
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.targets.request import TargetRequest

if TYPE_CHECKING:
    from lacewingpond.entry.requests.delivery import DeliveryContext, EntryDelivery

HANG_SCORE = 2.0  # of a target that one request alone shows to hang, or several
# Delays the start of a hedge and the use of its response by half of it on average.
HEDGE_CHECK_S = 0.02


class SecondAttempts:
    """Makes the attempts of one request, with others beside those that are overdue.

    Parameters
    ----------
    delivery : EntryDelivery
        Makes the single attempts.
    context : DeliveryContext
        The components that all deliveries share.
    request : EntryRequest
        The request.
    targets : TargetChoice
        Picks its targets.
    """

    __slots__ = ("_delivery", "_context", "_request", "_targets", "_first")
    __slots__ += ("_hedge_target", "_is_hedged", "_is_counted")

    def __init__(
        self,
        delivery: "EntryDelivery",
        context: "DeliveryContext",
        request: EntryRequest,
        targets: TargetChoice,
    ) -> None:
        self._delivery = delivery
        self._context = context
        self._request = request
        self._targets = targets
        self._first: WaitingRequest | None = None
        self._hedge_target: str | None = None  # of a hedge that runs or has responded
        self._is_hedged = False
        self._is_counted = False

    def attempt(self, state: TargetState) -> Outcome:
        """Return the outcome of an attempt and, if it was overdue, of one beside it.

        Of the two it is the one that ends the request, if there is one.
        """
        if not self._request.route.idempotent:
            return self._delivery.attempt(state, None)
        hedge = Hedge(lambda: self._prepare(state), self._log_error)
        beside: Outcome | None = None
        try:
            outcome = self._delivery.attempt(state, hedge)
            beside = None if ends_request(outcome) else hedge.take()
        finally:
            hedge.cancel()
            self._log_end(beside)
        return outcome if beside is None else beside

    def watch(
        self, sent: TargetRequest, waiting: WaitingRequest, hedge: Hedge | None
    ) -> None:
        """Set from when an attempt is overdue, and what happens then."""
        if hedge is None:
            if sent.idempotent:
                # A second attempt on a connection that seems silent goes on as well.
                sent.on_overdue = _never
            return
        self._first = waiting
        sent.on_overdue = hedge.poll
        half_s = (self._request.deadline - waiting.sent_at) / 2
        sent.overdue_at = min(waiting.time_to_level(0), waiting.sent_at + half_s)
        if self._context.hedging.enabled:
            sent.overdue_at = min(sent.overdue_at, self._slow_at(waiting))
            sent.overdue_check_s = HEDGE_CHECK_S

    def supersede(self, others: list[WaitingRequest], winner: WaitingRequest) -> None:
        """Record that `winner` got a response before all `others` of the request.

        A hedged attempt may only have been slow: a shorter wait elsewhere shows that
        its target hangs only if a second attempt would have started anyway. Otherwise
        its wait counts as a latency, which it is at least: from the latencies of hedges
        alone the percentile would fall, and requests would be hedged ever earlier.
        """
        is_hedge = winner.state.spec.target_id == self._hedge_target
        for other in others:
            if not is_hedge or self._seems_to_hang(other.state):
                self._context.overdue.supersede(other, winner)
            elif other is not winner:
                other.latency.observe(self._context.clock.now() - other.sent_at)

    def _prepare(self, state: TargetState) -> Attempt | None:
        """Return an attempt beside an overdue one, or None if there may be none now."""
        if self._seems_to_hang(state):
            return self._prepare_beside_hang()
        first, now = self._first, self._context.clock.now()
        if self._is_hedged or not self._context.hedging.enabled or first is None:
            return None
        if now < self._slow_at(first):
            return None
        found = self._pick_for_hedge(first, now)
        if isinstance(found, HedgeRefusal):
            if not self._is_counted:
                self._is_counted = True
                self._context.hedging.count_refusal(found)
            return None
        self._is_hedged = True
        self._hedge_target = found.spec.target_id
        self._log("started", beside=state.spec.target_id, ms=self._waited_ms())
        return lambda: self._run_hedge(found)

    def _prepare_beside_hang(self) -> Attempt | None:
        if not self._delivery.may_try_beside():
            return None
        relays = self._context.reach.lost and self._delivery.should_relay()
        second = None if relays else self._targets.pick_unlimited()
        if (second is None and not relays) or not self._delivery.begin_beside():
            return None
        return lambda: self._run(second)

    def _pick_for_hedge(
        self, first: WaitingRequest, now: float
    ) -> TargetState | HedgeRefusal:
        """Return the target of a hedge, of which both budgets are charged."""
        context, service = self._context, self._request.service
        slow = SlowRequest(
            self._request.route,
            service,
            self._request.priority,
            self._delivery.attempt_count(),
            self._request.deadline - now,
            first.latency.exceeded_by(0.5),
        )
        refusal = context.hedging.refusal(slow, context.placer.load(service), now)
        if refusal is not None:
            return refusal
        if context.reach.lost or not self._delivery.may_try_beside():
            return HedgeRefusal.NOT_REPEATABLE
        unfit = unfit_for_hedge(context.table.ready(service), now)
        second = self._targets.pick_unlimited(unfit=unfit)
        if second is None:
            return HedgeRefusal.NO_TARGET
        if not self._delivery.begin_beside():
            return HedgeRefusal.RETRY_BUDGET
        context.hedging.spend(service)
        return second

    def _run_hedge(self, second: TargetState) -> Outcome | None:
        """Return the outcome of a hedge, if it ends the request."""
        outcome = self._delivery.attempt(second, None)
        result = self._result(outcome, True)
        if result is None:
            if not _is_sent(outcome):
                self._context.hedging.refund(self._request.service)
            self._log("lost", how=_describe(outcome))
            self._hedge_target = None
        return result

    def _run(self, state: TargetState | None) -> Outcome | None:
        """Return the outcome of an attempt, relayed without `state`, if it ends it."""
        if state is None:
            # A refusal of another VM says nothing of the first attempt.
            outcome = self._delivery.relayed_attempt()
            return self._result(outcome, outcome.is_ok())
        return self._result(self._delivery.attempt(state, None), True)

    def _result(self, outcome: Outcome, may_end: bool) -> Outcome | None:
        """Return the outcome of an attempt beside another, if it ends the request.

        One that could not be sent does not: the other may be at work. It costs no
        retry.
        """
        sent = _is_sent(outcome)
        if sent and may_end and ends_request(outcome):
            return outcome
        if not sent:
            self._context.retries.refund(self._request.service)
        self._delivery.record(outcome)
        return None

    def _slow_at(self, waiting: WaitingRequest) -> float:
        """Return the time from which an attempt is slow for its route."""
        return waiting.sent_at + self._context.hedging.policy.delay_s(waiting.latency)

    def _seems_to_hang(self, state: TargetState) -> bool:
        """Return whether another target would serve an overdue request sooner.

        At a target that works it mostly would not, because a request that is slow there
        would be slow on other targets too.
        """
        now = self._context.clock.now()
        ejected = state.health.status(now) is HealthStatus.EJECTED
        return ejected or state.health.score >= HANG_SCORE

    def _log_end(self, beside: Outcome | None) -> None:
        """Log whether a hedge that was not logged as lost has served the caller."""
        if self._hedge_target is None:
            return
        if beside is not None and beside.is_ok():
            self._context.hedging.count_win()
            self._log("won", ms=self._waited_ms())
        else:
            self._log("lost", how="cancelled")
        self._hedge_target = None

    def _waited_ms(self) -> int:
        return round((self._context.clock.now() - self._first.sent_at) * 1000.0)

    def _log(self, why: str, **fields: object) -> None:
        self._context.log.decision(
            "hedge", self._request.request_id, why, target=self._hedge_target, **fields
        )

    def _log_error(self, exc: Exception) -> None:
        self._context.log.decision(
            "hedge", self._request.request_id, "error", error=repr(exc)
        )


def _never() -> bool:
    return False


def _is_sent(outcome: Outcome) -> bool:
    return outcome.is_ok() or outcome.err_value.kind is not FailureKind.NOT_SENT


def _describe(outcome: Outcome) -> str:
    if outcome.is_ok():
        return str(outcome.ok_value.status)
    return outcome.err_value.refusal.reason
