"""Writes responses so that a truncated one never looks complete to the caller."""

import re
import socket
import struct
from collections.abc import Iterable

from lacewingpond.http.date import http_date
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.http.unread import UnreadResponses
from lacewingpond.util.clock import Clock
from lacewingpond.util.sockets import unacknowledged_bytes

MAX_SEND_BYTES = 65_536
READ_CHECK_S = 0.25  # how often a response that waits looks whether its caller reads
_FORBIDDEN_IN_LINE = re.compile(r"[\r\n\x00]")
_BODILESS_STATUSES = frozenset({204, 304})
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0 s


class UnsafeResponseError(Exception):
    """A response has a header that would break the framing."""


class ResponseWriter:
    """Frames and sends one response.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.
    clock : Clock
        Provides the ``Date`` header.
    method : str
        Method of the request; a response to HEAD has no body.
    version_minor : int
        Minor HTTP version of the request; HTTP/1.0 has no chunked coding.
    keep_alive : bool
        Whether the connection may be reused.
    timeout_s : float
        Longest time in which the caller reads nothing, in seconds.
    unread : UnreadResponses
        Bounds what is held for callers that read nothing.

    Attributes
    ----------
    started : bool
        Whether bytes may have been sent.
    was_cut : bool
        Whether the response must end, as too much is held for callers.
    """

    __slots__ = (
        "_sock",
        "_clock",
        "_method",
        "_version_minor",
        "_keep_alive",
        "_timeout_s",
        "_unread",
        "_body",
        "started",
        "was_cut",
    )

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        method: str,
        version_minor: int,
        keep_alive: bool,
        timeout_s: float,
        unread: UnreadResponses,
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._method = method
        self._version_minor = version_minor
        self._keep_alive = keep_alive
        self._timeout_s = timeout_s
        self._unread = unread
        self._body: bytes | Iterable[bytes] = b""
        self.started = self.was_cut = False

    def write(self, response: Response) -> bool:
        """Send `response` and return whether the connection can be reused.

        A body with a ``close`` method is closed in any case.

        Raises
        ------
        UnsafeResponseError
            When a header has a line end or NUL; nothing was sent.
        OSError
            When the caller has disconnected or accepts no bytes.
        """
        body = self._body = response.body
        try:
            if isinstance(body, bytes):
                return self._write_bytes(response, body)
            return self._write_stream(response, body)
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()

    def _write_bytes(self, response: Response, body: bytes) -> bool:
        headers = self._headers(response)
        if self._method == "HEAD":
            if "Content-Length" not in headers:
                headers.set("Content-Length", str(len(body)))
            body = b""
        elif response.status in _BODILESS_STATUSES:
            body = b""
        else:
            headers.set("Content-Length", str(len(body)))
        self._send(self._head(response, headers) + body)
        return self._keep_alive

    def _write_stream(self, response: Response, body: Iterable[bytes]) -> bool:
        headers = self._headers(response)
        if self._method == "HEAD" or response.status in _BODILESS_STATUSES:
            self._send(self._head(response, headers))
            return self._keep_alive
        length = headers.get("Content-Length")
        if length is not None:
            self._send(self._head(response, headers))
            return self._stream_declared(body, int(length)) and self._keep_alive
        if self._version_minor == 0:
            self._keep_alive = False
            self._send(self._head(response, headers))
            return self._stream_until_close(body)
        headers.set("Transfer-Encoding", "chunked")
        self._send(self._head(response, headers))
        self._stream_chunks(body)
        return self._keep_alive

    def _stream_declared(self, body: Iterable[bytes], length: int) -> bool:
        left = length
        for data in body:
            # Bytes beyond the declared length would be read as the next response.
            self._send(data[:left])
            left -= len(data)
            if left < 0:
                return False
        return left == 0

    def _stream_chunks(self, body: Iterable[bytes]) -> None:
        for data in body:
            if data:
                self._send(b"%x\r\n%b\r\n" % (len(data), data))
        self._send(b"0\r\n\r\n")

    def _stream_until_close(self, body: Iterable[bytes]) -> bool:
        try:
            for data in body:
                self._send(data)
        except BaseException:
            # Without chunks or a length, only a reset shows that bytes are missing.
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            raise
        return False

    def _headers(self, response: Response) -> Headers:
        headers = response.headers.copy()
        headers.remove("Connection")
        headers.remove("Transfer-Encoding")
        if response.status == 204:
            headers.remove("Content-Length")
        if "Date" not in headers:
            headers.add("Date", http_date(self._clock.wall()))
        return headers

    def _head(self, response: Response, headers: Headers) -> bytes:
        if not self._keep_alive:
            headers.set("Connection", "close")
        elif self._version_minor == 0:
            headers.set("Connection", "keep-alive")
        lines = [f"HTTP/1.1 {response.status} {response.phrase}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if any(_FORBIDDEN_IN_LINE.search(line) for line in lines):
            raise UnsafeResponseError("a header of the response has a line end or NUL")
        return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"

    def _send(self, data: bytes) -> None:
        self.started = True
        view = memoryview(data)
        while view:
            view = view[self._send_some(view) :]

    def _send_some(self, view: memoryview) -> int:
        """Send a part of `view` and return its size, as soon as the kernel accepts one.

        The kernel accepts none until a third of its buffer is free, which takes a slow
        caller longer than the timeout. So one that reads at all is waited for.
        """
        data = view[:MAX_SEND_BYTES]
        try:
            self._sock.settimeout(0.0)
            return self._sock.send(data)
        except BlockingIOError:
            unread = unacknowledged_bytes(self._sock)
        # The view holds all of its bytes, also those that were sent.
        held = len(view.obj) + getattr(self._body, "held_bytes", 0)
        self._unread.enter(self, held)
        try:
            return self._send_when_read(data, unread)
        finally:
            self._unread.leave(self)

    def _send_when_read(self, data: memoryview, unread: int | None) -> int:
        step_s = min(self._timeout_s, READ_CHECK_S)
        self._sock.settimeout(step_s)
        waited_s = 0.0
        while True:
            try:
                return self._sock.send(data)
            except TimeoutError:
                if self.was_cut:
                    raise TimeoutError("too much is held for callers") from None
                waited_s += step_s
                left = unacknowledged_bytes(self._sock)
                if unread is not None and left is not None and left < unread:
                    unread, waited_s = left, 0.0
                    self._unread.touch(self)
                if waited_s >= self._timeout_s:
                    raise
