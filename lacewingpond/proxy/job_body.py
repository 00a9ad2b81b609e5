"""Interface of the body of a request on its way to a target."""

from collections.abc import Iterable
from typing import Protocol


class JobBody(Protocol):
    """A body that can be sent at least once."""

    @property
    def content_length(self) -> int | None:
        """Length in bytes; None for a body of unknown length."""
        ...

    @property
    def can_send(self) -> bool:
        """Whether the whole body can still be sent."""
        ...

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt; None for none."""
        ...
