"""The waiting requests of one workspace."""

import bisect

from lacewingpond.queues.ticket import Ticket


class WorkspaceQueue:
    """Tickets of one workspace, earliest deadline first.

    Parameters
    ----------
    weight : float
        Weight of the workspace against the others, above 0.
    start : float
        Virtual time, in turns of a workspace of weight 1, of its next ticket.
    """

    __slots__ = ("weight", "start", "tickets")

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.start = start
        self.tickets: list[Ticket] = []

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those with the same or an earlier deadline."""
        bisect.insort(self.tickets, ticket, key=_deadline)

    def ahead_of(self, deadline: float) -> int:
        """Return how many tickets have a deadline of at most `deadline` seconds."""
        return bisect.bisect_right(self.tickets, deadline, key=_deadline)


def _deadline(ticket: Ticket) -> float:
    return ticket.deadline
