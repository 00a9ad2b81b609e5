"""The queue in front of one service."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.limit_base import ConcurrencyLimit
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.order import QueueOrder
from lacewingpond.queues.refusal import QueueReason, QueueRefusal
from lacewingpond.queues.slot import Slot
from lacewingpond.queues.ticket import Ticket
from lacewingpond.util.clock import Clock

MIN_RETRY_AFTER_S = 0.1
"""Shortest time after which a refused request is told to retry."""


class ServiceQueue:
    """Gives slots to tickets in order, and refuses what can't finish in time.

    A request that would have to wait is refused when predicted work / (time left
    * rate) reaches `QueueOptions.refuse_ratio`, as its wait is uncertain; when its
    turn has come it is refused at a ratio of 1.

    Source of the ratio: the request for comments "Deadline-aware admission &
    adaptive degradation for TENT transfers" of the Mooncake project, 2026.

    Parameters
    ----------
    options : QueueOptions
        Bounds.
    order : QueueOrder
        Order of the waiting tickets.
    limit : ConcurrencyLimit
        Requests in work at once.
    clock : Clock
        Time source.
    """

    __slots__ = ("_options", "_order", "_limit", "_clock", "_in_work")

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
        self._in_work = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    @property
    def limit(self) -> int:
        """Requests that may be in work at once."""
        return self._limit.limit

    @property
    def in_work(self) -> int:
        """Requests that are in work."""
        return self._in_work

    def offer(self, workspace: str, deadline: float) -> Ticket:
        """Queue a request that must finish by `deadline`, in seconds of the clock."""
        now = self._clock.now()
        ticket = Ticket(workspace, deadline, now)
        if deadline <= now:
            self._refuse(ticket, QueueReason.EXPIRED)
        elif self._is_out_of_reach(ticket, now):
            self._refuse(ticket, QueueReason.TOO_LATE)
        elif len(self._order) >= self._options.max_waiting:
            self._make_room(ticket)
        else:
            self._order.push(ticket)
        self.advance()
        return ticket

    def advance(self) -> None:
        """Give free slots to waiting requests that can still finish."""
        now = self._clock.now()
        while len(self._order) and self._in_work < self._limit.limit:
            ticket = self._order.pop()
            if ticket.deadline <= now:
                self._refuse(ticket, QueueReason.EXPIRED)
            elif self._ratio(0, ticket, now) >= self._last_ratio(ticket, now):
                self._refuse(ticket, QueueReason.TOO_LATE)
            else:
                self._in_work += 1
                ticket.grant(Slot(now - ticket.arrived, self._release))

    def expire(self) -> None:
        """Refuse all waiting requests whose time no longer suffices."""
        now = self._clock.now()
        usual_s = self._limit.usual_s if self._options.refuse_ratio else 0.0
        for ticket in [t for t in self._order if t.deadline - usual_s <= now]:
            self._order.remove(ticket)
            self._refuse(ticket, QueueReason.EXPIRED)

    def refuse_all(self, reason: QueueReason) -> None:
        """Refuse all waiting requests."""
        while len(self._order):
            self._refuse(self._order.pop(), reason)

    def withdraw(self, ticket: Ticket) -> None:
        """Forget a ticket whose caller has gone."""
        self._order.remove(ticket)
        if ticket.result is not None and ticket.result.is_ok():
            ticket.result.ok_value.release(Outcome.CANCELLED, 0.0)

    def _is_out_of_reach(self, ticket: Ticket, now: float) -> bool:
        if self._in_work < self._limit.limit or not self._options.refuse_ratio:
            return False
        ahead = self._order.ahead_of(ticket) + 1
        return self._ratio(ahead, ticket, now) >= self._options.refuse_ratio

    def _ratio(self, ahead: int, ticket: Ticket, now: float) -> float:
        """Return predicted work / (time left * rate)."""
        usual_s = self._limit.usual_s
        predicted_s = usual_s + ahead * usual_s / max(self._limit.limit, 1)
        return predicted_s / max(ticket.deadline - now, 1e-9)

    def _last_ratio(self, ticket: Ticket, now: float) -> float:
        """Return the ratio from which a request is refused once it has its turn.

        A request that found a free slot is always tried.
        """
        if ticket.arrived == now or not self._options.refuse_ratio:
            return float("inf")
        return 1.0

    def _make_room(self, ticket: Ticket) -> None:
        surplus = self._order.surplus(ticket.workspace)
        if surplus is None:
            self._refuse(ticket, QueueReason.FULL)
            return
        self._order.remove(surplus)
        self._refuse(surplus, QueueReason.FULL)
        self._order.push(ticket)

    def _refuse(self, ticket: Ticket, reason: QueueReason) -> None:
        waiting = len(self._order) + self._in_work
        rate = max(self._limit.limit, 1) / max(self._limit.usual_s, 1e-3)
        retry_after_s = max(waiting / rate, MIN_RETRY_AFTER_S)
        ticket.refuse(QueueRefusal(reason, retry_after_s))

    def _release(self, outcome: Outcome, latency_s: float) -> None:
        self._limit.settle(self._clock.now(), outcome, latency_s, self._in_work)
        self._in_work -= 1
        self.advance()
