"""Deficit round robin over workspaces.

Source: Shreedhar and Varghese, "Efficient fair queueing using deficit round
robin", SIGCOMM 1995. All requests cost the same, so that the deficit is always
spent and one request is taken from each workspace in turn.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator

from lacewingpond.queues.ticket import Ticket


class FairOrder:
    """Takes one request of each waiting workspace in turn."""

    __slots__ = ("_queues", "_size")

    def __init__(self) -> None:
        self._queues: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets, workspace by workspace."""
        for queue in self._queues.values():
            yield from queue

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its workspace."""
        queue = self._queues.get(ticket.workspace)
        if queue is None:
            queue = self._queues[ticket.workspace] = deque()
        queue.append(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Remove and return the first ticket of the workspace whose turn it is."""
        workspace, queue = self._queues.popitem(last=False)
        ticket = queue.popleft()
        if queue:
            self._queues[workspace] = queue
        self._size -= 1
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that may or may not wait."""
        queue = self._queues.get(ticket.workspace)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._size -= 1
        if not queue:
            del self._queues[ticket.workspace]

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new one."""
        own = len(self._queues.get(ticket.workspace, ()))
        others = (
            min(len(queue), own + 1)
            for workspace, queue in self._queues.items()
            if workspace != ticket.workspace
        )
        return own + sum(others)

    def surplus(self, workspace: str) -> Ticket | None:
        """Return the newest ticket of the longest queue, if longer than its own."""
        if not self._queues:
            return None
        longest = max(self._queues.values(), key=len)
        if len(longest) <= len(self._queues.get(workspace, ())) + 1:
            return None
        return longest[-1]
