"""HTTP/1.1 connections: urllib3's, with strict parsing of responses."""

import errno
import http.client
import re
import socket
from collections.abc import Callable

from urllib3.connection import HTTPConnection

from lacewingpond.targets.errors import ExchangeError, SendReason
from lacewingpond.targets.stream import ResponseSocket
from lacewingpond.util.sockets import set_stream_options

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
MAX_HEAD_BYTES = 262_144
"""Most bytes of all heads that come before the body of a response."""
MAX_INTERIM_RESPONSES = 16
HTTP_1_0, HTTP_1_1 = 10, 11
"""Versions as `http.client` numbers them."""
MAX_FIELDS = 200
MAX_STRAY_RESPONSES = 8
MAX_STRAY_BYTES = 1_048_576
"""Largest response to another request that is skipped."""
_MAX_FIELD_BYTES = 65_536
_MAX_LINE_BYTES = 4_096
_MAX_TRAILERS = 32
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
_STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n")
_BODILESS = frozenset({204, 304})
_LENGTH = re.compile(r"[0-9]{1,18}")


class FinalResponse(http.client.HTTPResponse):
    """The final response after interim ones; rejects ambiguous framing."""

    has_trailing_bytes = False
    """True when the target sent bytes after the end of the response."""
    id_header = ""
    expected_id: str | None = None
    head_bytes_left = MAX_HEAD_BYTES

    def begin(self) -> None:
        """Read the status line and headers; skips responses to other requests."""
        if self.headers is not None:
            return
        for _ in range(MAX_STRAY_RESPONSES):
            self._read_headers()
            if not self._is_stray():
                return
            self._skip_stray()
        raise ExchangeError(SendReason.PROTOCOL, "too many responses to other requests")

    def _is_stray(self) -> bool:
        """Return whether the response has the id of another request."""
        if not self.id_header or self.expected_id is None:
            return False
        found = self.msg.get_all(self.id_header, [])
        if len(found) > 1:
            raise ExchangeError(SendReason.PROTOCOL, "response with several ids")
        return bool(found) and found[0] != self.expected_id

    def _skip_stray(self) -> None:
        if self.chunked:
            self._skip_chunks()
        elif self.length is None or self.length > MAX_STRAY_BYTES:
            raise ExchangeError(
                SendReason.PROTOCOL,
                "response to another request is too long or has no length",
            )
        elif len(self.fp.read(self.length)) < self.length:
            raise ConnectionResetError("response to another request ended early")

    def _skip_chunks(self) -> None:
        left = MAX_STRAY_BYTES
        while left >= 0:
            match = _CHUNK_LINE.fullmatch(self.fp.readline(_MAX_LINE_BYTES))
            if match is None:
                raise self._header_error("malformed response to another request")
            size = int(match[1], 16)
            if size == 0:
                self._skip_trailers()
                return
            left -= size
            if left >= 0:
                self.fp.read(size)
                self._expect_line_end()
        raise ExchangeError(
            SendReason.PROTOCOL, "response to another request is too long"
        )

    def _read_headers(self) -> None:
        version, self.status, reason = self._read_status()
        self.code = self.status
        self.reason = reason.strip()
        self.version = HTTP_1_0 if version == "HTTP/1.0" else HTTP_1_1
        self.headers = self.msg = self._read_fields()
        self._set_framing()

    def _read_fields(self) -> http.client.HTTPMessage:
        # The email parser of http.client accepts ambiguous headers, and is slow.
        fields = http.client.HTTPMessage()
        for _ in range(MAX_FIELDS):
            line = self._read_head_line()
            if line == b"\r\n":
                return fields
            match = _FIELD.fullmatch(line)
            if match is None:
                raise self._header_error("malformed headers")
            value = match[2].strip(b" \t").decode("latin-1")
            fields[match[1].decode("latin-1")] = value
        raise self._header_error("too many headers")

    def _read_head_line(self) -> bytes:
        line = self.fp.readline(min(_MAX_FIELD_BYTES, self.head_bytes_left))
        self.head_bytes_left -= len(line)
        return line

    def _set_framing(self) -> None:
        lengths = self.msg.get_all("Content-Length", [])
        codings = self.msg.get_all("Transfer-Encoding", [])
        if len(lengths) + len(codings) > 1:
            raise ExchangeError(
                SendReason.PROTOCOL,
                "more than one Content-Length or Transfer-Encoding header",
            )
        if codings and self.version == HTTP_1_0:
            raise ExchangeError(SendReason.PROTOCOL, "Transfer-Encoding in HTTP/1.0")
        if codings and codings[0].lower() != "chunked":
            raise ExchangeError(SendReason.PROTOCOL, "unsupported Transfer-Encoding")
        if lengths and not _LENGTH.fullmatch(lengths[0]):
            raise ExchangeError(SendReason.PROTOCOL, "invalid Content-Length")
        self.chunked = bool(codings)
        self.chunk_left = None
        self.length = int(lengths[0]) if lengths else None
        if self._method == "HEAD" or self.status in _BODILESS:
            # These responses have no body, whatever their framing headers say.
            self.chunked = False
            self.length = 0
        endless = not self.chunked and self.length is None
        self.will_close = endless or self._check_close()

    def _header_error(self, detail: str) -> Exception:
        if self.fp.raw.at_eof:
            return ConnectionResetError("connection closed within the headers")
        return ExchangeError(SendReason.PROTOCOL, detail)

    def read1(self, n: int = -1) -> bytes:
        """Return the next bytes of the body as they arrive, or none at its end."""
        if not self.chunked or self.fp is None or self._method == "HEAD":
            return super().read1(n)
        if not self.chunk_left:
            self._next_chunk()
            if self.fp is None:
                return b""
        size = self.chunk_left if n < 0 else min(n, self.chunk_left)
        data = self.fp.read1(size)
        if not data and size:
            raise http.client.IncompleteRead(b"")
        self.chunk_left -= len(data)
        if self.chunk_left == 0:
            self._expect_line_end()
        return data

    def _next_chunk(self) -> None:
        match = _CHUNK_LINE.fullmatch(self.fp.readline(_MAX_LINE_BYTES))
        if match is None:
            raise http.client.IncompleteRead(b"")
        self.chunk_left = int(match[1], 16)
        if self.chunk_left == 0:
            self._skip_trailers()
            self._close_conn()

    def _skip_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self.fp.readline(_MAX_LINE_BYTES)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
        raise http.client.IncompleteRead(b"")

    def _expect_line_end(self) -> None:
        if self.fp.read(2) != b"\r\n":
            raise http.client.IncompleteRead(b"")

    def _read_status(self) -> tuple[str, int, str]:
        # http.client skips status 100 only; other 1xx responses have no body either.
        for _ in range(MAX_INTERIM_RESPONSES):
            match = _STATUS_LINE.fullmatch(self._read_head_line())
            if match is None:
                raise self._header_error("malformed status line")
            version, status, reason = (
                (part or b"").decode("latin-1") for part in match.groups()
            )
            if status[0] != "1":
                return version, int(status), reason
            if int(status) == http.client.SWITCHING_PROTOCOLS:
                break
            self._read_fields()
        raise ExchangeError(
            SendReason.PROTOCOL, "status 101 or too many interim responses"
        )

    def _close_conn(self) -> None:
        # Bytes after a response would be parsed as the next one.
        if self.fp is not None:
            self.fp.raw.stop()
            self.has_trailing_bytes = bool(self.fp.peek(1))
        super()._close_conn()


class TargetHttpConnection(HTTPConnection):
    """One connection, which counts the bytes that were sent.

    Parameters
    ----------
    host, port : str, int
        Address of the target.
    wait : callable
        Waits for bytes of a response; see `ResponseStream`.
    check_stalled : callable
        Called when no byte could be sent within the connection's timeout; raises to
        stop sending.

    Attributes
    ----------
    bytes_sent : int
        Bytes of the current request that were sent.
    final_response : FinalResponse or None
        Parser of the current response.
    send_error : OSError or None
        Error of the connection that a send has taken, so that reads get none.
    """

    def __init__(
        self,
        host: str,
        port: int,
        wait: Callable[[int], None],
        check_stalled: Callable[[], None],
    ) -> None:
        super().__init__(host, port)
        self.bytes_sent = 0
        self.final_response: FinalResponse | None = None
        self.send_error: OSError | None = None
        self._wait_for_response = wait
        self._check_stalled = check_stalled
        self._id_header = ""
        self._expected_id: str | None = None

    def set_expected_id(self, id_header: str, expected_id: str | None) -> None:
        """Skip responses whose `id_header` has another id than `expected_id`."""
        self._id_header = id_header
        self._expected_id = expected_id

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        set_stream_options(
            self.sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES
        )

    def response_class(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> FinalResponse:
        """Return the parser of the next response."""
        source = ResponseSocket(sock, self._wait_for_response, self.send_error)
        self.final_response = FinalResponse(source, debuglevel, method, url)
        self.final_response.id_header = self._id_header
        self.final_response.expected_id = self._expected_id
        return self.final_response

    def send(self, data: bytes) -> None:
        """Send all of `data`, counting the bytes that the kernel accepted."""
        if self.sock is None:
            raise ConnectionError("the connection is closed")
        view = memoryview(data)
        while view:
            try:
                sent_bytes = self.sock.send(view)
            except TimeoutError as exc:
                self._note_send_error(exc)
                self._check_stalled()
                continue
            except OSError as exc:
                self._note_send_error(exc)
                raise
            self.bytes_sent += sent_bytes
            view = view[sent_bytes:]

    def _note_send_error(self, exc: OSError) -> None:
        """Keep an error of the connection for the reader of the response.

        The kernel reports it once: after a send has failed with it, a read finds an
        ordinary end of the stream. EPIPE is not kept: as the first error of a send it
        means that the target had closed its side, which ended the response. Timeouts
        of gevent have no error number.
        """
        if exc.errno not in (None, errno.EPIPE):
            self.send_error = exc
