"""Interface of the order in which waiting requests get slots."""

from collections.abc import Iterator
from typing import Protocol

from lacewingpond.queues.ticket import Ticket


class QueueOrder(Protocol):
    """Collection of waiting tickets with an order of service."""

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        ...

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all waiting tickets."""
        ...

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ...

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the order must not be empty."""
        ...

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, if it is waiting."""
        ...

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new `ticket`."""
        ...

    def eviction_candidate(self, workspace: str) -> Ticket | None:
        """Return the ticket to evict for a new one of `workspace`, if any."""
        ...
