"""A request body that is forwarded while it arrives."""

from collections.abc import Iterable

from lacewingpond.http.request import Request


class StreamedBody:
    """A body forwarded without buffering; it can be sent once only."""

    __slots__ = ("_req",)

    def __init__(self, req: Request) -> None:
        self._req = req

    @property
    def content_length(self) -> int | None:
        """Declared length in bytes; None for a chunked body."""
        return self._req.body.content_length

    @property
    def can_send(self) -> bool:
        """Whether no byte of the body has been read yet."""
        return self._req.body.bytes_read == 0

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt."""
        return self._req.body
