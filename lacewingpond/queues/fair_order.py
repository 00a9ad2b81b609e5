"""Weighted fair order over workspaces, by deadline within each.

Source of the fair part: Goyal, Vin and Cheng, "Start-time fair queueing",
SIGCOMM 1996, with all requests of the same length.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator

from lacewingpond.queues.line import Line
from lacewingpond.queues.ticket import Ticket

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
        "_lines",
        "_heap",
        "_order",
        "_now",
        "_finished",
        "_size",
    )

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._lines: dict[str, Line] = {}
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
        for line in self._lines.values():
            yield from line.tickets

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to its workspace."""
        line = self._lines.get(ticket.workspace)
        if line is None:
            start = max(self._now, self._finished.pop(ticket.workspace, 0.0))
            line = Line(self._weight_of(ticket.workspace), start)
            self._lines[ticket.workspace] = line
            self._enlist(ticket.workspace, line)
        line.push(ticket)
        self._size += 1

    def pop(self) -> Ticket:
        """Remove and return the first ticket of the workspace that is due."""
        while True:
            start, _, workspace = heapq.heappop(self._heap)
            line = self._lines.get(workspace)
            if line is not None and line.start == start:
                break
        self._now = start
        ticket = line.tickets.pop(0)
        self._size -= 1
        line.start = start + 1.0 / line.weight
        if line.tickets:
            self._enlist(workspace, line)
        else:
            self._delist(workspace, line)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that may or may not wait."""
        line = self._lines.get(ticket.workspace)
        if line is None or ticket not in line.tickets:
            return
        line.tickets.remove(ticket)
        self._size -= 1
        if not line.tickets:
            self._delist(ticket.workspace, line)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new one."""
        line = self._lines.get(ticket.workspace)
        own = line.ahead_of(ticket.deadline) if line is not None else 0
        turns = (own + 1) / self._weight_of(ticket.workspace)
        others = (
            min(len(other.tickets), int(turns * other.weight))
            for other in self._lines.values()
            if other is not line
        )
        return own + sum(others)

    def surplus(self, workspace: str) -> Ticket | None:
        """Return the last ticket of the workspace furthest above its share."""
        if not self._lines:
            return None
        furthest = max(self._lines.values(), key=_length)
        line = self._lines.get(workspace)
        own = 1 if line is None else len(line.tickets) + 1
        if _length(furthest) <= own / self._weight_of(workspace):
            return None
        return furthest.tickets[-1]

    def _enlist(self, workspace: str, line: Line) -> None:
        heapq.heappush(self._heap, (line.start, next(self._order), workspace))

    def _delist(self, workspace: str, line: Line) -> None:
        del self._lines[workspace]
        if len(self._finished) >= MAX_FINISHED:
            self._finished = {w: t for w, t in self._finished.items() if t > self._now}
        if len(self._finished) < MAX_FINISHED:
            self._finished[workspace] = line.start
        if not self._lines:
            self._heap.clear()


def _length(line: Line) -> float:
    return len(line.tickets) / line.weight
