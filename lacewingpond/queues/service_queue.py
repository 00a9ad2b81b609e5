"""Request queue in front of one service."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.concurrency_limit import ConcurrencyLimit
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.order import QueueOrder
from lacewingpond.queues.refusal import QueueReason, QueueRefusal
from lacewingpond.queues.slot import Slot
from lacewingpond.queues.ticket import Ticket
from lacewingpond.util.clock import Clock

MIN_RETRY_AFTER_S = 0.1
"""Shortest retry time given with a refusal."""


class ServiceQueue:
    """Grants slots to tickets in order and refuses those that can't finish in time.

    A request that would have to wait is refused when predicted work / (time left
    * rate) reaches `QueueOptions.refuse_ratio`, since its wait is uncertain. When it
    is next in turn, it is refused at a ratio of 1.

    Source of the ratio: the request for comments "Deadline-aware admission &
    adaptive degradation for TENT transfers" of the Mooncake project, 2026.

    Parameters
    ----------
    options : QueueOptions
        Bounds.
    order : QueueOrder
        Holds the waiting tickets in order.
    limit : ConcurrencyLimit
        Limits the requests in flight.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_options", "_order", "_limit", "_clock", "_in_flight")

    def __init__(
        self,
        options: QueueOptions,
        order: QueueOrder,
        limit: ConcurrencyLimit,
        clock: Clock,
    ) -> None:
        self._options = options
        self._order = order
        self._limit = limit
        self._clock = clock
        self._in_flight = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def offer(self, workspace: str, deadline: float) -> Ticket:
        """Queue a request that must finish by `deadline`, in seconds of the clock.

        Returns
        -------
        Ticket
            Has its result already when the request was refused or got a free slot.
        """
        now = self._clock.now()
        ticket = Ticket(workspace, deadline, now)
        if deadline <= now:
            self._refuse(ticket, QueueReason.DEADLINE_PASSED)
        elif self._would_miss_deadline(ticket, now):
            self._refuse(ticket, QueueReason.DEADLINE_OUT_OF_REACH)
        elif len(self._order) >= self._options.max_waiting:
            self._evict_for(ticket)
        else:
            self._order.push(ticket)
        self.dispatch()
        return ticket

    def dispatch(self) -> None:
        """Grant free slots to waiting requests that can still finish in time."""
        now = self._clock.now()
        while len(self._order) and self._in_flight < self._limit.limit:
            ticket = self._order.pop()
            if ticket.deadline <= now:
                self._refuse(ticket, QueueReason.DEADLINE_PASSED)
            elif self._ratio(0, ticket, now) >= self._refusal_threshold(ticket, now):
                self._refuse(ticket, QueueReason.DEADLINE_OUT_OF_REACH)
            else:
                self._in_flight += 1
                ticket.grant(Slot(now - ticket.arrived_at, self._release))

    def expire(self) -> None:
        """Refuse waiting requests that can no longer finish by their deadline."""
        now = self._clock.now()
        mean_s = self._limit.mean_latency_s if self._options.refuse_ratio else 0.0
        for ticket in [t for t in self._order if t.deadline - mean_s <= now]:
            self._order.remove(ticket)
            self._refuse(ticket, QueueReason.DEADLINE_PASSED)

    def refuse_all(self, reason: QueueReason) -> None:
        """Refuse all waiting requests."""
        while len(self._order):
            self._refuse(self._order.pop(), reason)

    def cancel(self, ticket: Ticket) -> None:
        """Remove the ticket of a cancelled request and release its slot, if any."""
        self._order.remove(ticket)
        if ticket.result is not None and ticket.result.is_ok():
            ticket.result.ok_value.release(Outcome.CANCELLED, 0.0)

    def _would_miss_deadline(self, ticket: Ticket, now: float) -> bool:
        if self._in_flight < self._limit.limit or not self._options.refuse_ratio:
            return False
        ahead = self._order.ahead_of(ticket) + 1
        return self._ratio(ahead, ticket, now) >= self._options.refuse_ratio

    def _ratio(self, ahead: int, ticket: Ticket, now: float) -> float:
        """Return predicted work / (time left * rate) with `ahead` requests in front."""
        mean_s = self._limit.mean_latency_s
        predicted_s = mean_s + ahead * mean_s / max(self._limit.limit, 1)
        return predicted_s / max(ticket.deadline - now, 1e-9)

    def _refusal_threshold(self, ticket: Ticket, now: float) -> float:
        """Return the ratio from which a request that is next in turn is refused.

        A request that finds a free slot on arrival is never refused.
        """
        if ticket.arrived_at == now or not self._options.refuse_ratio:
            return float("inf")
        return 1.0

    def _evict_for(self, ticket: Ticket) -> None:
        evicted = self._order.eviction_candidate(ticket.workspace)
        if evicted is None:
            self._refuse(ticket, QueueReason.QUEUE_FULL)
            return
        self._order.remove(evicted)
        self._refuse(evicted, QueueReason.QUEUE_FULL)
        self._order.push(ticket)

    def _refuse(self, ticket: Ticket, reason: QueueReason) -> None:
        waiting = len(self._order) + self._in_flight
        rate = max(self._limit.limit, 1) / max(self._limit.mean_latency_s, 1e-3)
        retry_after_s = max(waiting / rate, MIN_RETRY_AFTER_S)
        ticket.refuse(QueueRefusal(reason, retry_after_s))

    def _release(self, outcome: Outcome, latency_s: float) -> None:
        self._limit.update(self._clock.now(), outcome, latency_s, self._in_flight)
        self._in_flight -= 1
        self.dispatch()
