"""A body that is held in memory."""

from collections.abc import Iterable


class KeptBody:
    """A body that is held whole, so that it can be sent again."""

    __slots__ = ("data",)

    can_send = True

    def __init__(self, data: bytes) -> None:
        self.data = data

    @property
    def content_length(self) -> int | None:
        """Length in bytes."""
        return len(self.data)

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt; None for none."""
        return (self.data,) if self.data else None
