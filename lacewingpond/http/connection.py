"""Serves the requests of one caller's connection in sequence."""

import socket
from collections.abc import Callable
from typing import Protocol

from lacewingpond.http.body import RequestBody
from lacewingpond.http.errors import BodyFailure, HeadError, RequestBodyError
from lacewingpond.http.head import RequestHead, parse_head
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.reader import RECEIVE_BYTES, SocketReader
from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.http.writer import ResponseWriter, UnsafeResponseError
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.sockets import (
    SocketState,
    set_stream_options,
    socket_state,
)

KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3


class ConnectionServer(Protocol):
    """What a connection uses of its server."""

    options: HttpOptions
    handler: Callable[[Request], Response]
    log: DecisionLog
    clock: Clock
    draining: bool
    refusing: bool


class CallerConnection:
    """One caller's connection, served in its own greenlet.

    Parameters
    ----------
    sock : socket.socket
        The accepted socket.
    address : str
        IP address of the caller.
    server : ConnectionServer
        Provides the options and the request handler.

    Attributes
    ----------
    is_idle : bool
        Whether no request is being served; also true while headers arrive.
    """

    __slots__ = ("socket", "address", "server", "is_idle", "_reader")

    def __init__(
        self, sock: socket.socket, address: str, server: ConnectionServer
    ) -> None:
        self.socket = sock
        self.address = address
        self.server = server
        self.is_idle = True
        self._reader = SocketReader(sock, server.options, server.clock)

    def handle(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            set_stream_options(
                self.socket, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES
            )
            while self._serve_one():
                pass
        except OSError as exc:
            self.server.log.decision("caller-connection", self.address, str(exc))
        finally:
            self.socket.close()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is served or has arrived.

        Shutting down only its reading side would not do: the greenlet that waits for
        a request could still read one, and would take its caller for disconnected.

        Returns
        -------
        bool
            Whether it was closed.
        """
        if not self.is_idle or self._reader.buffered:
            return False
        if socket_state(self.socket) is SocketState.READABLE:
            return False
        self.socket.close()
        return True

    def refuse(self, response: Response) -> None:
        """Send `response` without reading a request, then close the connection."""
        try:
            self._writer("GET", 1, keep_alive=False).write(response)
            self._linger()
        except OSError as exc:
            self.server.log.decision("caller-connection", self.address, str(exc))
        finally:
            self.socket.close()

    def _serve_one(self) -> bool:
        self.is_idle = True
        raw = self._reader.read_head()
        self.is_idle = False
        head = raw.and_then(lambda data: parse_head(data, self.server.options))
        if head.is_err():
            return self._refuse_head(head.err())
        if self.server.refusing:
            self.server.log.decision("refuse-head", self.address, "stopping")
            return self._refuse(head.ok().method, head.ok().version_minor, _stopping())
        req = self._build_request(head.ok())
        response = self._call_handler(req)
        return self._send_response(head.ok(), req, response)

    def _build_request(self, head: RequestHead) -> Request:
        body = RequestBody(
            self._reader,
            head.content_length,
            head.chunked,
            self._send_interim if head.expects_continue else None,
        )
        return Request(
            method=head.method,
            host=head.host,
            path=head.path,
            headers=head.headers,
            body=body,
            remote_address=self.address,
            received_at=self.server.clock.now(),
            is_refused=lambda: self.server.refusing,
            is_disconnected=self._is_disconnected,
        )

    def _call_handler(self, req: Request) -> Response:
        try:
            return self.server.handler(req)
        except RequestBodyError as exc:
            return refusal_response(
                exc.status, RunState.UNKNOWN, "bad-body", exc.detail
            )
        except Exception as exc:
            # A failure in one request must not affect other connections.
            self.server.log.decision("handler-error", self.address, repr(exc))
            return _internal_error()

    def _send_response(
        self, head: RequestHead, req: Request, response: Response
    ) -> bool:
        keep_alive = self._can_keep_alive(head, req.body)
        writer = self._writer(head.method, head.version_minor, keep_alive)
        try:
            reusable = self._write_response(writer, response)
        except OSError as exc:
            self.server.log.decision("answer-cut", self.address, repr(exc))
            return False
        except Exception as exc:
            self.server.log.decision("answer-cut", self.address, repr(exc))
            return False
        if reusable and req.body.discard(self.server.options.max_discard_bytes):
            return True
        if not req.body.is_complete:
            self._linger()
        return False

    def _write_response(self, writer: ResponseWriter, response: Response) -> bool:
        try:
            return writer.write(response)
        except UnsafeResponseError as exc:
            self.server.log.decision("answer-refused", self.address, str(exc))
            return writer.write(_internal_error())

    def _can_keep_alive(self, head: RequestHead, body: RequestBody) -> bool:
        if self.server.draining or not head.keep_alive or body.failed:
            return False
        if body.awaits_continue:
            return False
        left = (body.content_length or 0) - body.bytes_read
        return body.chunked or left <= self.server.options.max_discard_bytes

    def _refuse_head(self, error: HeadError) -> bool:
        if error.status == 0:
            # Nobody waits for a response.
            return False
        self.server.log.decision("refuse-head", self.address, error.reason)
        response = refusal_response(
            error.status, RunState.NOT_RUN, error.reason, error.detail
        )
        return self._refuse("GET", 1, response)

    def _refuse(self, method: str, version_minor: int, response: Response) -> bool:
        """Send `response` instead of handling a request; the connection ends."""
        self._writer(method, version_minor, keep_alive=False).write(response)
        self._linger()
        return False

    def _writer(self, method: str, minor: int, keep_alive: bool) -> ResponseWriter:
        return ResponseWriter(
            self.socket,
            self.server.clock,
            method,
            minor,
            keep_alive,
            self.server.options.write_timeout_s,
        )

    def _send_interim(self, data: bytes) -> None:
        try:
            self.socket.settimeout(self.server.options.write_timeout_s)
            self.socket.sendall(data)
        except OSError as exc:
            raise RequestBodyError(BodyFailure.DISCONNECTED, str(exc)) from exc

    def _is_disconnected(self) -> bool:
        return socket_state(self.socket) is SocketState.CLOSED

    def _linger(self) -> None:
        """Stop sending, and drop input until the caller closes or `linger_s` is over.

        Closing a socket with unread data resets the connection, and the reset may
        discard a response that the caller has not read yet.
        """
        clock = self.server.clock
        deadline = clock.now() + self.server.options.linger_s
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining := deadline - clock.now()) > 0:
                self.socket.settimeout(remaining)
                if not self.socket.recv(RECEIVE_BYTES):
                    return
        except OSError:
            # The caller has disconnected, or sent nothing until the deadline.
            return


def _stopping() -> Response:
    detail = "This VM is being stopped."
    return refusal_response(503, RunState.NOT_RUN, "stopping", detail, 0.0)


def _internal_error() -> Response:
    return refusal_response(
        500,
        RunState.UNKNOWN,
        "internal-error",
        "The proxy failed to handle this request.",
    )
