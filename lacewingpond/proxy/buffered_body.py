"""A request body that is buffered in memory."""

from collections.abc import Iterable


class BufferedBody:
    """A body buffered whole, so that it can be sent to several targets."""

    __slots__ = ("data",)

    can_send = True

    def __init__(self, data: bytes) -> None:
        self.data = data

    @property
    def content_length(self) -> int | None:
        """Length in bytes."""
        return len(self.data)

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt; None when it is empty."""
        return (self.data,) if self.data else None
