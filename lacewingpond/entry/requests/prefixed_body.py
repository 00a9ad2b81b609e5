"""A long body whose first part was read already."""

from collections.abc import Iterable, Iterator

from lacewingpond.http.errors import BodyFailure, RequestBodyError
from lacewingpond.http.request import Request


class PrefixedBody:
    """Passes through once: what was read, then the rest as it comes.

    Parameters
    ----------
    req : Request
        The request, whose body is read on.
    read : bytes
        What was read of it.
    limit : int
        Longest body in bytes that is passed on.
    """

    __slots__ = ("_req", "_read", "_limit", "_opened")

    def __init__(self, req: Request, read: bytes, limit: int) -> None:
        self._req = req
        self._read = read
        self._limit = limit
        self._opened = False

    @property
    def content_length(self) -> int | None:
        """Declared length in bytes, if any."""
        return self._req.body.content_length

    @property
    def can_send(self) -> bool:
        """Whether no attempt has begun to send it."""
        return not self._opened

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt."""
        return self._blocks()

    def _blocks(self) -> Iterator[bytes]:
        # An attempt that never connects takes nothing from here.
        self._opened = True
        left = self._limit - len(self._read)
        if self._read:
            yield self._read
        for block in self._req.body:
            left -= len(block)
            if left < 0:
                raise RequestBodyError(
                    BodyFailure.MALFORMED, "The body is longer than its limit."
                )
            yield block
