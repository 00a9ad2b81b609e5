"""Order of the requests that wait for one service."""

from collections.abc import Callable, Iterator

from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.ticket import Ticket


class AdmissionTicket(Ticket):
    """A request that waits to be admitted.

    Its deadline is the latest time at which the delivery may start.

    Attributes
    ----------
    request : EntryRequest
        The request.
    """

    __slots__ = ("request",)

    def __init__(
        self, request: EntryRequest, start_by: float, arrived_at: float
    ) -> None:
        super().__init__(request.workspace, start_by, arrived_at)
        self.request = request


class ClassOrder:
    """Waiting requests by priority class, in each class fair to workspaces.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace, above 0.
    """

    __slots__ = ("_weight_of", "_orders")

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._orders: dict[int, FairOrder] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(order) for order in self._orders.values())

    def __iter__(self) -> Iterator[AdmissionTicket]:
        """Iterate over all waiting requests."""
        for order in self._orders.values():
            yield from order

    def push(self, ticket: AdmissionTicket) -> None:
        """Add a request."""
        priority = ticket.request.priority
        if priority not in self._orders:
            self._orders[priority] = FairOrder(self._weight_of)
        self._orders[priority].push(ticket)

    def most_urgent(self) -> int | None:
        """Return the priority of the next request, or None if none waits."""
        return min((p for p, order in self._orders.items() if order), default=None)

    def pop(self) -> AdmissionTicket:
        """Remove and return the next request; one must be waiting."""
        return self._orders[self.most_urgent()].pop()

    def remove(self, ticket: AdmissionTicket) -> None:
        """Remove a request, if it waits."""
        order = self._orders.get(ticket.request.priority)
        if order is not None:
            order.remove(ticket)

    def ahead_of(self, ticket: AdmissionTicket) -> int:
        """Return how many waiting requests would be served before a new one."""
        own = ticket.request.priority
        more_urgent = sum(len(o) for p, o in self._orders.items() if p < own)
        order = self._orders.get(own)
        return more_urgent + (order.ahead_of(ticket) if order else 0)

    def eviction_candidate(self, ticket: AdmissionTicket) -> AdmissionTicket | None:
        """Return the request to evict for a new one; None to refuse the new one.

        It is of the least urgent class, from the workspace furthest above its share.
        """
        least = max((p for p, order in self._orders.items() if order), default=None)
        own = ticket.request.priority
        if least is None or least < own:
            return None
        if least == own:
            return self._orders[own].eviction_candidate(ticket.workspace)
        return self._orders[least].last_of_largest()
