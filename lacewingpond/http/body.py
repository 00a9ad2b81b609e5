"""The body of a request, read as it comes and never held whole."""

import re
from collections.abc import Iterator

from lacewingpond.http.errors import BodyFailure, RequestBodyError
from lacewingpond.http.reader import RECEIVE_BYTES, SocketReader

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_TRAILERS = 32
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})(?:;" + _TOKEN + rb"(?:=(?:" + _TOKEN + rb"|" + _QUOTED
    + rb"))?)*"
)  # fmt: skip
_TRAILER = re.compile(_TOKEN + rb":[\t\x20-\x7e\x80-\xff]*")


class RequestBody:
    """Streams a body of declared length, of chunks, or an empty one.

    Parameters
    ----------
    reader : SocketReader
        The caller's connection.
    content_length : int or None
        Declared length in bytes.
    chunked : bool
        True when the body comes in chunks.
    send_continue : callable or None
        Sends an interim answer before the first read, when the caller waits for it.
    """

    __slots__ = (
        "content_length",
        "chunked",
        "bytes_read",
        "broken",
        "_reader",
        "_left",
        "_ended",
        "_send_continue",
    )

    def __init__(
        self,
        reader: SocketReader,
        content_length: int | None,
        chunked: bool,
        send_continue=None,
    ) -> None:
        self.content_length = content_length
        self.chunked = chunked
        self.bytes_read = 0
        self.broken = False
        self._reader = reader
        self._left = 0 if chunked else content_length or 0
        self._ended = not chunked and self._left == 0
        self._send_continue = send_continue

    @property
    def is_empty(self) -> bool:
        """Whether the request has no body at all."""
        return not self.chunked and not self.content_length

    @property
    def ended(self) -> bool:
        """Whether all of it has been read."""
        return self._ended

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller still waits to be asked for its body."""
        return self._send_continue is not None and not self._ended

    def read(self, size: int = RECEIVE_BYTES) -> bytes:
        """Return up to `size` bytes as they come; nothing at the end.

        Raises
        ------
        RequestBodyError
            When the body is cut, malformed or too slow.
        """
        if self._ended or size <= 0:
            return b""
        try:
            return self._read(size)
        except RequestBodyError:
            self.broken = True
            raise

    def __iter__(self) -> Iterator[bytes]:
        while data := self.read():
            yield data

    def discard(self, limit: int) -> bool:
        """Skip the rest, at most `limit` bytes; False when it can't be skipped."""
        if self.broken or self.awaits_continue:
            return False
        skipped = 0
        try:
            while not self._ended and skipped <= limit:
                skipped += len(self.read())
        except RequestBodyError:
            return False
        return self._ended

    def _read(self, size: int) -> bytes:
        if self._send_continue is not None:
            self._send_continue(_CONTINUE)
            self._send_continue = None
        if self.chunked and self._left == 0:
            self._next_chunk()
            if self._ended:
                return b""
        data = self._reader.read_some(min(size, self._left))
        self._left -= len(data)
        self.bytes_read += len(data)
        if self._left == 0:
            self._end_piece()
        return data

    def _next_chunk(self) -> None:
        match = _CHUNK_LINE.fullmatch(self._reader.read_line())
        if match is None:
            raise RequestBodyError(BodyFailure.MALFORMED, "A chunk size is malformed.")
        self._left = int(match[1], 16)
        if self._left == 0:
            self._skip_trailers()
            self._ended = True

    def _end_piece(self) -> None:
        if not self.chunked:
            self._ended = True
        elif self._reader.read_line():
            raise RequestBodyError(
                BodyFailure.MALFORMED, "A chunk is longer than its size."
            )

    def _skip_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self._reader.read_line()
            if not line:
                return
            if not _TRAILER.fullmatch(line):
                raise RequestBodyError(BodyFailure.MALFORMED, "A trailer is malformed.")
        raise RequestBodyError(BodyFailure.MALFORMED, "There are too many trailers.")
