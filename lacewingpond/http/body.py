"""The body of a request, read while it arrives and never buffered whole."""

import re
from collections.abc import Iterator

from lacewingpond.http.errors import BodyFailure, RequestBodyError
from lacewingpond.http.reader import RECEIVE_BYTES, SocketReader

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_TRAILERS = 32
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_QUOTED_STRING = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
)
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})(?:;" + _TOKEN + rb"(?:=(?:" + _TOKEN + rb"|" + _QUOTED_STRING
    + rb"))?)*"
)  # fmt: skip
_TRAILER = re.compile(_TOKEN + rb":[\t\x20-\x7e\x80-\xff]*")


class RequestBody:
    """Streams a body of declared length, a chunked body or an empty one.

    Parameters
    ----------
    reader : SocketReader
        The caller's connection.
    content_length : int or None
        Declared length in bytes.
    chunked : bool
        Whether the body has the chunked transfer coding.
    send_continue : callable or None
        Sends the bytes of an interim response; called before the first read when the
        caller waits for ``100 Continue``.

    Attributes
    ----------
    bytes_read : int
        Bytes of the body read so far, without chunk framing.
    failed : bool
        Whether a read has failed; the connection can't be reused then.
    """

    __slots__ = (
        "content_length",
        "chunked",
        "bytes_read",
        "failed",
        "_reader",
        "_remaining",
        "_complete",
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
        self.failed = False
        self._reader = reader
        self._remaining = 0 if chunked else content_length or 0
        self._complete = not chunked and self._remaining == 0
        self._send_continue = send_continue

    @property
    def is_empty(self) -> bool:
        """Whether the request has no body."""
        return not self.chunked and not self.content_length

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has been read."""
        return self._complete

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller still waits for ``100 Continue``."""
        return self._send_continue is not None and not self._complete

    def read(self, size: int = RECEIVE_BYTES) -> bytes:
        """Return up to `size` bytes as they arrive; empty at the end of the body.

        Raises
        ------
        RequestBodyError
            When the body ends early, is malformed or too slow.
        """
        if self._complete or size <= 0:
            return b""
        try:
            return self._read(size)
        except RequestBodyError:
            self.failed = True
            raise

    def __iter__(self) -> Iterator[bytes]:
        while data := self.read():
            yield data

    def discard(self, limit: int) -> bool:
        """Read and drop the rest of the body, about `limit` bytes at most.

        Returns
        -------
        bool
            True when the end of the body was reached.
        """
        if self.failed or self.awaits_continue:
            return False
        skipped = 0
        try:
            while not self._complete and skipped <= limit:
                skipped += len(self.read())
        except RequestBodyError:
            return False
        return self._complete

    def _read(self, size: int) -> bytes:
        if self._send_continue is not None:
            self._send_continue(_CONTINUE_RESPONSE)
            self._send_continue = None
        if self.chunked and self._remaining == 0:
            self._start_chunk()
            if self._complete:
                return b""
        data = self._reader.read_some(min(size, self._remaining))
        self._remaining -= len(data)
        self.bytes_read += len(data)
        if self._remaining == 0:
            self._finish_chunk()
        return data

    def _start_chunk(self) -> None:
        match = _CHUNK_LINE.fullmatch(self._reader.read_line())
        if match is None:
            raise RequestBodyError(BodyFailure.MALFORMED, "A chunk size is malformed.")
        self._remaining = int(match[1], 16)
        if self._remaining == 0:
            self._skip_trailers()
            self._complete = True

    def _finish_chunk(self) -> None:
        if not self.chunked:
            self._complete = True
        elif self._reader.read_line():
            raise RequestBodyError(
                BodyFailure.MALFORMED, "A chunk is longer than its declared size."
            )

    def _skip_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self._reader.read_line()
            if not line:
                return
            if not _TRAILER.fullmatch(line):
                raise RequestBodyError(BodyFailure.MALFORMED, "A trailer is malformed.")
        raise RequestBodyError(BodyFailure.MALFORMED, "There are too many trailers.")
