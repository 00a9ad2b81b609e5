"""Weighted fair order over workspaces, by deadline within each.

Source of the fair part: Goyal, Vin and Cheng, "Start-time fair queueing",
SIGCOMM 1996, with all requests of the same length.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator

from lacewingpond.queues.ticket import Ticket
from lacewingpond.queues.workspace_queue import WorkspaceQueue

MAX_FINISHED = 1024
"""Workspaces without waiting requests whose last virtual time is kept."""


class FairOrder:
    """Takes requests of each waiting workspace in proportion to its weight.

    Parameters
    ----------
    weight_of : callable
        Returns the weight, above 0, of a workspace.
    """

    __slots__ = (
        "_weight_of",
        "_queues",
        "_heap",
        "_order",
        "_now",
        "_finished",
        "_size",
    )

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, WorkspaceQueue] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._finished: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets, workspace by workspace."""
        for queue in self._queues.values():
            yield from queue.tickets

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to its workspace."""
        queue = self._queues.get(ticket.workspace)
        if queue is None:
            start = max(self._now, self._finished.pop(ticket.workspace, 0.0))
            queue = WorkspaceQueue(self._weight_of(ticket.workspace), start)
            self._queues[ticket.workspace] = queue
            self._schedule(ticket.workspace, queue)
        queue.push(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Remove and return the first ticket of the workspace that is due."""
        while True:
            start, _, workspace = heapq.heappop(self._heap)
            queue = self._queues.get(workspace)
            if queue is not None and queue.start == start:
                break
        self._now = start
        ticket = queue.tickets.pop(0)
        self._size -= 1
        queue.start = start + 1.0 / queue.weight
        if queue.tickets:
            self._schedule(workspace, queue)
        else:
            self._drop_empty(workspace, queue)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that may or may not wait."""
        queue = self._queues.get(ticket.workspace)
        if queue is None or ticket not in queue.tickets:
            return
        queue.tickets.remove(ticket)
        self._size -= 1
        if not queue.tickets:
            self._drop_empty(ticket.workspace, queue)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new one."""
        queue = self._queues.get(ticket.workspace)
        own = queue.ahead_of(ticket.deadline) if queue is not None else 0
        turns = (own + 1) / self._weight_of(ticket.workspace)
        others = (
            min(len(other.tickets), int(turns * other.weight))
            for other in self._queues.values()
            if other is not queue
        )
        return own + sum(others)

    def surplus(self, workspace: str) -> Ticket | None:
        """Return the last ticket of the workspace furthest above its share."""
        if not self._queues:
            return None
        furthest = max(self._queues.values(), key=_relative_length)
        queue = self._queues.get(workspace)
        own = 1 if queue is None else len(queue.tickets) + 1
        if _relative_length(furthest) <= own / self._weight_of(workspace):
            return None
        return furthest.tickets[-1]

    def _schedule(self, workspace: str, queue: WorkspaceQueue) -> None:
        heapq.heappush(self._heap, (queue.start, next(self._order), workspace))

    def _drop_empty(self, workspace: str, queue: WorkspaceQueue) -> None:
        del self._queues[workspace]
        if len(self._finished) >= MAX_FINISHED:
            self._finished = {w: t for w, t in self._finished.items() if t > self._now}
        if len(self._finished) < MAX_FINISHED:
            self._finished[workspace] = queue.start
        if not self._queues:
            self._heap.clear()


def _relative_length(queue: WorkspaceQueue) -> float:
    return len(queue.tickets) / queue.weight
