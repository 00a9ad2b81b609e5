"""Queue orders that replays compare with the daemon's order."""

import heapq
import itertools
from collections import deque
from collections.abc import Iterator

from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.ticket import Ticket


class FifoOrder:
    """First come, first served; a full queue refuses new tickets."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[Ticket] = deque()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._queue)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets."""
        return iter(self._queue)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._queue.append(ticket)

    def pop(self) -> Ticket:
        """Remove and return the oldest ticket; the order must not be empty."""
        return self._queue.popleft()

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, if it is waiting."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new `ticket`."""
        return len(self._queue)

    def eviction_candidate(self, workspace: str) -> Ticket | None:
        """Return None: no waiting ticket is evicted."""
        return None


class DeadlineOrder:
    """Earliest deadline first, regardless of workspace."""

    __slots__ = ("_heap", "_order")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Ticket]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._heap)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets."""
        return (ticket for _, _, ticket in self._heap)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        heapq.heappush(self._heap, (ticket.deadline, next(self._order), ticket))

    def pop(self) -> Ticket:
        """Remove and return the ticket with the earliest deadline.

        The order must not be empty.
        """
        return heapq.heappop(self._heap)[2]

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, if it is waiting."""
        self._heap = [entry for entry in self._heap if entry[2] is not ticket]
        heapq.heapify(self._heap)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new `ticket`."""
        return sum(entry[0] <= ticket.deadline for entry in self._heap)

    def eviction_candidate(self, workspace: str) -> Ticket | None:
        """Return None: no waiting ticket is evicted."""
        return None


class RoundRobinOrder(FairOrder):
    """Deficit round robin: fair among workspaces, oldest first within each."""

    __slots__ = ()

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind all others of its workspace."""
        deadline, ticket.deadline = ticket.deadline, float("inf")
        super().push(ticket)
        ticket.deadline = deadline
