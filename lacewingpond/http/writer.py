"""Writes answers to a caller, so that a cut one never looks complete."""

import re
import socket
import struct
from collections.abc import Iterable

from lacewingpond.http.date import http_date
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.util.clock import Clock

SEND_BYTES = 65_536
_UNSAFE = re.compile(r"[\r\n\x00]")
_BODILESS = frozenset({204, 304})
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class UnsafeResponseError(Exception):
    """An answer has a header that would break the framing."""


class ResponseWriter:
    """Frames one answer.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.
    clock : Clock
        Dates the answer.
    method : str
        Method of the request; HEAD gets no body.
    version_minor : int
        HTTP/1.0 gets no chunks.
    keep_alive : bool
        Whether the caller may use the connection again.
    timeout_s : float
        Longest wait for the caller to take a block of bytes.
    """

    __slots__ = (
        "_sock",
        "_clock",
        "_method",
        "_minor",
        "_keep_alive",
        "_timeout_s",
        "started",
    )

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        method: str,
        version_minor: int,
        keep_alive: bool,
        timeout_s: float,
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._method = method
        self._minor = version_minor
        self._keep_alive = keep_alive
        self._timeout_s = timeout_s
        self.started = False

    def write(self, response: Response) -> bool:
        """Send `response`; True when the connection can be used again.

        Raises
        ------
        UnsafeResponseError
            Before a byte was sent.
        OSError
            When the caller has gone or takes no bytes.
        """
        body = response.body
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
        elif response.status in _BODILESS:
            body = b""
        else:
            headers.set("Content-Length", str(len(body)))
        self._send(self._head(response, headers) + body)
        return self._keep_alive

    def _write_stream(self, response: Response, body: Iterable[bytes]) -> bool:
        headers = self._headers(response)
        if self._method == "HEAD" or response.status in _BODILESS:
            self._send(self._head(response, headers))
            return self._keep_alive
        length = headers.get("Content-Length")
        if length is not None:
            self._send(self._head(response, headers))
            return self._stream_length(body, int(length)) and self._keep_alive
        if self._minor == 0:
            self._keep_alive = False
            self._send(self._head(response, headers))
            return self._stream_until_close(body)
        headers.set("Transfer-Encoding", "chunked")
        self._send(self._head(response, headers))
        self._stream_chunks(body)
        return self._keep_alive

    def _stream_length(self, body: Iterable[bytes], length: int) -> bool:
        left = length
        for data in body:
            # More bytes than declared would become the start of the next answer.
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
            # Only a reset tells such a caller that bytes are missing.
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
        elif self._minor == 0:
            headers.set("Connection", "keep-alive")
        lines = [f"HTTP/1.1 {response.status} {response.phrase}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if any(_UNSAFE.search(line) for line in lines):
            raise UnsafeResponseError("a header of the answer has a line end")
        return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"

    def _send(self, data: bytes) -> None:
        self.started = True
        self._sock.settimeout(self._timeout_s)
        if len(data) <= SEND_BYTES:
            self._sock.sendall(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), SEND_BYTES):
            self._sock.sendall(view[start : start + SEND_BYTES])
