"""Waiting requests of one workspace."""

import bisect

from lacewingpond.queues.ticket import Ticket


class WorkspaceQueue:
    """Tickets of one workspace, earliest deadline first.

    Parameters
    ----------
    weight : float
        Weight of the workspace relative to others, above 0.
    start_tag : float
        Virtual start time of the next ticket, in units of one request of a workspace
        of weight 1.
    """

    __slots__ = ("weight", "start_tag", "tickets")

    def __init__(self, weight: float, start_tag: float) -> None:
        self.weight = weight
        self.start_tag = start_tag
        self.tickets: list[Ticket] = []

    def push(self, ticket: Ticket) -> None:
        """Insert a ticket after those with the same or an earlier deadline."""
        bisect.insort(self.tickets, ticket, key=_deadline)

    def ahead_of(self, deadline: float) -> int:
        """Return the number of tickets whose deadline is not after `deadline`."""
        return bisect.bisect_right(self.tickets, deadline, key=_deadline)


def _deadline(ticket: Ticket) -> float:
    return ticket.deadline
