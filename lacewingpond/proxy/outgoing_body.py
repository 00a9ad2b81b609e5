"""Interface of the request bodies that are sent to targets."""

from collections.abc import Iterable
from typing import Protocol


class OutgoingBody(Protocol):
    """A request body that can be sent at least once."""

    @property
    def content_length(self) -> int | None:
        """Length in bytes; None when it is unknown."""
        ...

    @property
    def can_send(self) -> bool:
        """Whether the whole body can still be sent."""
        ...

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt; None when there is no body."""
        ...
