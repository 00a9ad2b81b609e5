"""Reads heads, chunk lines and body bytes from a caller's socket with timeouts."""

import re
import socket

from result import Err, Ok, Result

from lacewingpond.http.errors import (
    NO_REQUEST,
    BodyFailure,
    HeadError,
    RequestBodyError,
)
from lacewingpond.http.options import HttpOptions
from lacewingpond.util.clock import Clock

RECEIVE_BYTES = 16_384
_HEAD_END = b"\r\n\r\n"
_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n|\Z)")


class SocketReader:
    """Reads from one connection.

    While a body is read, about one received block is buffered at most.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.
    options : HttpOptions
        Limits and timeouts.
    clock : Clock
        Measures timeouts.
    """

    __slots__ = ("_sock", "_options", "_clock", "_buffer", "_waited_s", "_body_bytes")
    __slots__ += ("_searched",)

    def __init__(self, sock: socket.socket, options: HttpOptions, clock: Clock) -> None:
        self._sock = sock
        self._options = options
        self._clock = clock
        self._buffer = b""
        self._searched = 0
        self._waited_s = 0.0
        self._body_bytes = 0

    @property
    def buffered(self) -> int:
        """Bytes received and not read yet."""
        return len(self._buffer)

    def read_head(self) -> Result[bytes, HeadError]:
        """Return the head of the next request, without the empty line that ends it.

        Blocks until the head has arrived or a timeout has passed. The error is
        `NO_REQUEST` when the caller disconnected, or sent nothing for
        `idle_timeout_s`.
        """
        self._waited_s = 0.0
        self._body_bytes = 0
        if not self._buffer and not self._receive_first():
            return Err(NO_REQUEST)
        deadline = self._clock.now() + self._options.head_timeout_s
        while True:
            head = self._take_head()
            if head is not None:
                return head
            remaining = deadline - self._clock.now()
            received = self._receive(remaining) if remaining > 0 else None
            if received is None:
                return Err(
                    HeadError(408, "slow-head", "The headers arrived too slowly.")
                )
            if not received:
                return Err(NO_REQUEST)
            self._buffer += received

    def poll_head(self) -> Result[bytes, HeadError] | None:
        """Return the head of the next request as `read_head` does, without waiting.

        None until it has arrived; `read_head` or another call then goes on.
        """
        self._waited_s = 0.0
        self._body_bytes = 0
        head = self._take_head() if self._buffer else None
        if head is not None:
            return head
        try:
            self._sock.settimeout(0.0)
            received = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            return Err(NO_REQUEST)
        if not received:
            return Err(NO_REQUEST)
        self._buffer += received
        return self._take_head()

    def read_some(self, size: int) -> bytes:
        """Return 1 to `size` body bytes as they arrive.

        Raises
        ------
        RequestBodyError
            When the caller has disconnected or is too slow.
        """
        if not self._buffer:
            self._buffer = self._receive_body()
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return data

    def read_line(self) -> bytes:
        """Return a line of the chunked coding without its CR LF.

        Raises
        ------
        RequestBodyError
            When the line is too long, malformed, too slow or ends early.
        """
        limit = self._options.max_chunk_line_bytes
        while True:
            end = self._buffer.find(b"\n", 0, limit + 2)
            if end >= 0:
                break
            if len(self._buffer) > limit:
                raise RequestBodyError(
                    BodyFailure.MALFORMED, "A chunk line is too long."
                )
            self._buffer += self._receive_body()
        line = self._buffer[: end + 1]
        self._buffer = self._buffer[end + 1 :]
        if not line.endswith(b"\r\n") or b"\r" in line[:-2]:
            raise RequestBodyError(
                BodyFailure.MALFORMED, "A chunk line has a bare line end."
            )
        return line[:-2]

    def _take_head(self) -> Result[bytes, HeadError] | None:
        """Remove and return a head from the buffer; None while it is incomplete."""
        if self._searched == 0:
            # RFC 9112, section 2.2: ignore an empty line before a request.
            self._buffer = self._buffer.removeprefix(b"\r\n")
        end = self._buffer.find(_HEAD_END, self._searched)
        error = self._check_head(end, self._searched)
        if error is None and end < 0:
            # Searching the whole buffer for each received byte would be quadratic.
            self._searched = max(len(self._buffer) - len(_HEAD_END), 0)
            return None
        self._searched = 0
        if error is not None:
            return Err(error)
        head = self._buffer[:end]
        self._buffer = self._buffer[end + len(_HEAD_END) :]
        return Ok(head)

    def _receive_first(self) -> bool:
        self._buffer = self._receive(self._options.idle_timeout_s) or b""
        return bool(self._buffer)

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return received bytes, empty at the end of the stream, None on timeout."""
        try:
            self._sock.settimeout(timeout_s)
            return self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def _receive_body(self) -> bytes:
        started = self._clock.now()
        data = self._receive(self._options.body_timeout_s)
        self._waited_s += self._clock.now() - started
        if data is None or self._is_too_slow():
            raise RequestBodyError(BodyFailure.TOO_SLOW, "The body arrived too slowly.")
        if not data:
            raise RequestBodyError(BodyFailure.DISCONNECTED, "The body ended early.")
        self._body_bytes += len(data)
        return data

    def _is_too_slow(self) -> bool:
        if self._waited_s < self._options.body_timeout_s:
            return False
        return self._body_bytes < self._waited_s * self._options.min_body_bytes_per_s

    def _check_head(self, end: int, searched: int) -> HeadError | None:
        size = len(self._buffer) if end < 0 else end + 2
        if _BARE_LINE_END.search(self._buffer, searched, size):
            return HeadError(400, "bare-line-end", "Lines must end with CR LF.")
        if size <= self._options.max_head_bytes:
            return None
        if self._buffer.find(b"\r\n", 0, self._options.max_request_line_bytes + 2) < 0:
            return HeadError(414, "uri-too-long", "The request line is too long.")
        return HeadError(431, "head-too-large", "The headers are too large.")
