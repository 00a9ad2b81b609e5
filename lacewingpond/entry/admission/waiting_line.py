"""Requests that wait for one service on this VM."""

from collections import deque
from collections.abc import Callable

from lacewingpond.entry.admission.class_order import AdmissionTicket, ClassOrder
from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.admission.service_capacity import Capacity
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.targets.reporter import LOAD_REPORT_S
from lacewingpond.queues.refusal import QueueReason, QueueRefusal
from lacewingpond.queues.slot import Slot

MIN_RATE_PER_S = 1e-3  # a service without slots completes nothing


class WaitingLine:
    """Holds the requests that a loaded service has no room for yet.

    Other VMs release requests at about the same time, and the load shows theirs one
    report later. Until then each request that is released here counts as one of each
    VM, so that a fleet with a backlog does not release all of it at once. One whose
    delivery has not started yet is in no measured load at all.

    Parameters
    ----------
    service : str
        The service.
    capacity : Capacity
        Its load and size.
    threshold_of : callable
        Returns the load below which a priority is admitted.
    weight_of : callable
        Returns the weight of a workspace, above 0.
    """

    __slots__ = ("order", "_service", "_capacity", "_threshold_of", "_released_at")
    __slots__ += ("_starting",)

    def __init__(
        self,
        service: str,
        capacity: Capacity,
        threshold_of: Callable[[int], float],
        weight_of: Callable[[str], float],
    ) -> None:
        self.order = ClassOrder(weight_of)
        self._service = service
        self._capacity = capacity
        self._threshold_of = threshold_of
        self._released_at: deque[float] = deque()
        self._starting = 0

    def load(self) -> float:
        """Return the measured load with the requests that are about to start."""
        starting = self._starting / max(self._capacity.slots(self._service), 1)
        return self._capacity.load(self._service) + starting

    def has_room(self, ticket: AdmissionTicket) -> bool:
        """Return whether a new request need not wait.

        It must if a request waits that would be served before it.
        """
        priority = ticket.request.priority
        first = self.order.most_urgent()
        if first is not None and first <= priority:
            return False
        return self.load() < self._threshold_of(priority)

    def release(self, now: float) -> None:
        """Admit waiting requests in order while there is room for them."""
        if not len(self.order):
            return
        while self._released_at and now - self._released_at[0] >= LOAD_REPORT_S:
            self._released_at.popleft()
        slots = max(self._capacity.slots(self._service), 1)
        size = self._capacity.fleet_size()
        load = self.load() + len(self._released_at) * (size - 1) / slots
        while len(self.order) and load < self._threshold_of(self.order.most_urgent()):
            if self._release_next(now):
                load += size / slots

    def _release_next(self, now: float) -> bool:
        """Admit the next request, and return whether its caller is still connected."""
        ticket = self.order.pop()
        if ticket.request.is_disconnected():
            self._refuse(ticket, QueueReason.CALLER_GONE)
            return False
        self._released_at.append(now)
        self._starting += 1
        ticket.grant(Slot(now - ticket.arrived_at, _ignore))
        return True

    def start(self, ticket: AdmissionTicket) -> None:
        """Note that a request goes on after its wait, or was given up.

        To be called once for each request that was pushed.
        """
        self.order.remove(ticket)
        if ticket.result is not None and ticket.result.is_ok():
            self._starting -= 1

    def drop_expired(self, now: float) -> None:
        """Refuse the requests that can no longer be served in time.

        While the measured load shows room they are admitted instead, and those before
        them: what other VMs may have released is only an estimate.
        """
        for ticket in [each for each in self.order if each.deadline <= now]:
            while ticket.result is None and self._measures_room():
                self._release_next(now)
            if ticket.result is None:
                self.order.remove(ticket)
                self._refuse(ticket, QueueReason.DEADLINE_PASSED)

    def _measures_room(self) -> bool:
        """Return whether the measured load admits the next request."""
        first = self.order.most_urgent()
        return first is not None and self.load() < self._threshold_of(first)

    def drop_disconnected(self) -> None:
        """Remove the requests whose callers have disconnected."""
        for ticket in [t for t in self.order if t.request.is_disconnected()]:
            self.order.remove(ticket)
            self._refuse(ticket, QueueReason.CALLER_GONE)

    def push(self, ticket: AdmissionTicket, options: AdmissionOptions) -> None:
        """Add a request, or refuse it or another one if it can't be served in time.

        Parameters
        ----------
        ticket : AdmissionTicket
            The request; it has its result already if it is refused.
        options : AdmissionOptions
            The most requests that may wait, and the load below which slots are known
            to be free, so that what waits goes on with the next report.
        """
        wait_s = self.order.ahead_of(ticket) / self.rate_per_s(ticket.request.route)
        is_late = ticket.arrived_at + wait_s >= ticket.deadline
        if is_late and self.load() >= options.busy_load:
            self._refuse(ticket, QueueReason.DEADLINE_OUT_OF_REACH)
            return
        if len(self.order) >= options.max_waiting:
            evicted = self.order.eviction_candidate(ticket)
            if evicted is None:
                self._refuse(ticket, QueueReason.QUEUE_FULL)
                return
            self.order.remove(evicted)
            self._refuse(evicted, QueueReason.QUEUE_FULL)
        self.order.push(ticket)

    def rate_per_s(self, route: EntryRoute) -> float:
        """Return this VM's part of the requests that the service completes a second.

        By Little's law it is the number in flight divided by the time of each.
        """
        in_flight = self.load() * self._capacity.slots(self._service)
        fleet_rate = in_flight / max(self._capacity.usual_s(route), MIN_RATE_PER_S)
        return max(fleet_rate / self._capacity.fleet_size(), MIN_RATE_PER_S)

    def backlog_s(self, route: EntryRoute, busy_load: float) -> float:
        """Return the time for what waits here and above `busy_load` at the targets."""
        load = self.load()
        waiting_s = len(self.order) / self.rate_per_s(route)
        if load <= busy_load:
            return waiting_s
        return waiting_s + self._capacity.usual_s(route) * (1.0 - busy_load / load)

    def _refuse(self, ticket: AdmissionTicket, reason: QueueReason) -> None:
        # The retry time is set when the refusal is returned to the caller.
        ticket.refuse(QueueRefusal(reason, 0.0))


def _ignore(*_: object) -> None:
    """Release nothing: the load of the targets shows which requests run."""
