"""A long request body whose first part was already read."""

from collections.abc import Iterable, Iterator

from lacewingpond.http.errors import BodyFailure, RequestBodyError
from lacewingpond.http.request import Request


class PrefixedBody:
    """Streams a body once: the part already read, then the rest as it arrives.

    Parameters
    ----------
    req : Request
        The request whose body is read.
    prefix : bytes
        The part that was already read.
    limit : int
        Maximum length of the whole body in bytes.
    """

    __slots__ = ("_req", "_prefix", "_limit", "_opened")

    def __init__(self, req: Request, prefix: bytes, limit: int) -> None:
        self._req = req
        self._prefix = prefix
        self._limit = limit
        self._opened = False

    @property
    def content_length(self) -> int | None:
        """Declared length in bytes, or None."""
        return self._req.body.content_length

    @property
    def can_send(self) -> bool:
        """Whether no attempt has started to send the body."""
        return not self._opened

    def open(self) -> Iterable[bytes] | None:
        """Return the body for one attempt.

        Iterating raises `RequestBodyError` if the body is longer than its limit.
        """
        return self._blocks()

    def _blocks(self) -> Iterator[bytes]:
        # Set on the first read, since an attempt that does not connect reads nothing.
        self._opened = True
        left = self._limit - len(self._prefix)
        if self._prefix:
            yield self._prefix
        for block in self._req.body:
            left -= len(block)
            if left < 0:
                raise RequestBodyError(
                    BodyFailure.MALFORMED, "The body is longer than its limit."
                )
            yield block
