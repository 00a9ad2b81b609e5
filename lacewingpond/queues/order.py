"""Interface of the order in which waiting requests get slots."""

from collections.abc import Iterator
from typing import Protocol

from lacewingpond.queues.ticket import Ticket


class QueueOrder(Protocol):
    """Holds waiting tickets."""

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
        """Remove and return the next ticket; there must be one."""
        ...

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that may or may not wait."""
        ...

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before a new one."""
        ...

    def surplus(self, workspace: str) -> Ticket | None:
        """Return the ticket that should give way to one of `workspace`, if any."""
        ...
