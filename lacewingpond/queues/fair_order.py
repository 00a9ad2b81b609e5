"""Weighted fair queueing of workspaces, earliest deadline first within each.

Source of the fair queueing: Goyal, Vin and Cheng, "Start-time fair queueing",
SIGCOMM 1996, with all requests of the same length.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator

from lacewingpond.queues.ticket import Ticket
from lacewingpond.queues.workspace_queue import WorkspaceQueue

MAX_FINISH_TAGS = 1024
"""Maximum number of workspaces without waiting requests whose finish tag is kept."""
MAX_STALE_RATIO = 2
"""Heap entries per waiting workspace from which those of removed tickets are dropped.

Otherwise they pile up while tickets are removed and none is served.
"""


class FairOrder:
    """Serves waiting workspaces in proportion to their weights.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace, above 0.
    """

    __slots__ = (
        "_weight_of",
        "_queues",
        "_heap",
        "_sequence",
        "_virtual_time",
        "_finish_tags",
        "_size",
    )

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, WorkspaceQueue] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets, grouped by workspace."""
        for queue in self._queues.values():
            yield from queue.tickets

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to the queue of its workspace."""
        queue = self._queues.get(ticket.workspace)
        if queue is None:
            start_tag = max(
                self._virtual_time, self._finish_tags.pop(ticket.workspace, 0.0)
            )
            queue = WorkspaceQueue(self._weight_of(ticket.workspace), start_tag)
            self._queues[ticket.workspace] = queue
            self._schedule(ticket.workspace, queue)
        queue.push(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Remove and return the next ticket of the workspace with the lowest tag.

        There must be a waiting ticket.
        """
        while True:
            start_tag, _, workspace = heapq.heappop(self._heap)
            queue = self._queues.get(workspace)
            if queue is not None and queue.start_tag == start_tag:
                break
        self._virtual_time = start_tag
        ticket = queue.tickets.pop(0)
        self._size -= 1
        queue.start_tag = start_tag + 1.0 / queue.weight
        if queue.tickets:
            self._schedule(workspace, queue)
        else:
            self._drop_empty(workspace, queue)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, if it is waiting."""
        queue = self._queues.get(ticket.workspace)
        if queue is None or ticket not in queue.tickets:
            return
        queue.tickets.remove(ticket)
        self._size -= 1
        if not queue.tickets:
            self._drop_empty(ticket.workspace, queue)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new `ticket`."""
        queue = self._queues.get(ticket.workspace)
        own = queue.ahead_of(ticket.deadline) if queue is not None else 0
        turns = (own + 1) / self._weight_of(ticket.workspace)
        others = (
            min(len(other.tickets), int(turns * other.weight))
            for other in self._queues.values()
            if other is not queue
        )
        return own + sum(others)

    def eviction_candidate(self, workspace: str) -> Ticket | None:
        """Return the last ticket of the workspace furthest above its fair share.

        Returns
        -------
        Ticket or None
            None when a further ticket puts `workspace` itself furthest above its
            share, or when nothing waits.
        """
        if not self._queues:
            return None
        largest = self._largest()
        queue = self._queues.get(workspace)
        own = 1 if queue is None else len(queue.tickets) + 1
        if _weighted_length(largest) <= own / self._weight_of(workspace):
            return None
        return largest.tickets[-1]

    def last_of_largest(self) -> Ticket:
        """Return the last ticket of the workspace furthest above its fair share.

        There must be a waiting ticket.
        """
        return self._largest().tickets[-1]

    def _largest(self) -> WorkspaceQueue:
        return max(self._queues.values(), key=_weighted_length)

    def _schedule(self, workspace: str, queue: WorkspaceQueue) -> None:
        heapq.heappush(self._heap, (queue.start_tag, next(self._sequence), workspace))

    def _drop_empty(self, workspace: str, queue: WorkspaceQueue) -> None:
        del self._queues[workspace]
        if len(self._finish_tags) >= MAX_FINISH_TAGS:
            self._finish_tags = {
                w: t for w, t in self._finish_tags.items() if t > self._virtual_time
            }
        if len(self._finish_tags) < MAX_FINISH_TAGS:
            self._finish_tags[workspace] = queue.start_tag
        if len(self._heap) > MAX_STALE_RATIO * len(self._queues):
            self._drop_stale()

    def _drop_stale(self) -> None:
        """Keep one entry of the heap for each workspace that waits."""
        current: dict[str, tuple[float, int, str]] = {}
        for entry in sorted(self._heap):
            start_tag, _, workspace = entry
            queue = self._queues.get(workspace)
            if queue is not None and queue.start_tag == start_tag:
                current.setdefault(workspace, entry)
        self._heap = sorted(current.values())


def _weighted_length(queue: WorkspaceQueue) -> float:
    return len(queue.tickets) / queue.weight
