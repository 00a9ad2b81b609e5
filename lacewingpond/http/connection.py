"""Serves the requests of one caller's connection and answers them in order."""

import socket
from collections.abc import Callable
from typing import Protocol

import gevent
from result import Result

from lacewingpond.http.body import RequestBody
from lacewingpond.http.errors import BodyFailure, HeadError, RequestBodyError
from lacewingpond.http.head import RequestHead, parse_head
from lacewingpond.http.interrupt import RequestInterruptedError
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.pipelined import PipelinedRequests
from lacewingpond.http.reader import RECEIVE_BYTES, SocketReader
from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.http.unread import UnreadResponses
from lacewingpond.http.writer import ResponseWriter, UnsafeResponseError
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.sockets import (
    SocketState,
    peer_has_closed,
    set_stream_options,
    socket_state,
)

KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods whose requests may overlap on a connection (RFC 9112, section 9.3.2)."""


class ConnectionServer(Protocol):
    """What a connection uses of its server."""

    options: HttpOptions
    handler: Callable[[Request], Response]
    may_overlap: Callable[[Request], bool]
    pipelined_count: int
    unread: UnreadResponses
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
    was_interrupted : bool
        Whether a handler was ended by `interrupt`.
    """

    __slots__ = ("socket", "address", "server", "is_idle", "_reader", "_pipelines")
    __slots__ += ("_pipelined", "_read_ahead", "_handling", "was_interrupted")

    def __init__(
        self, sock: socket.socket, address: str, server: ConnectionServer
    ) -> None:
        self.socket = sock
        self.address = address
        self.server = server
        self.is_idle = True
        self._reader = SocketReader(sock, server.options, server.clock)
        self._pipelines = False
        self._pipelined: PipelinedRequests | None = None
        self._read_ahead = 0
        self._handling: gevent.Greenlet | None = None
        self.was_interrupted = False

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

    def interrupt(self) -> None:
        """End the handlers of requests, so that their callers are told.

        A request whose response has begun goes on.
        """
        if self._pipelined is not None:
            self.was_interrupted = self._pipelined.interrupt()
        else:
            # Not `kill`, which could end the greenlet while it sends a response.
            gevent.get_hub().loop.run_callback(self._interrupt_handler)

    def _interrupt_handler(self) -> None:
        if self._handling is not None:
            self.was_interrupted = True
            self._handling.throw(RequestInterruptedError)

    def abort(self) -> bool:
        """Close the connection, whether a request is served or not.

        Returns
        -------
        bool
            Whether a request was served that had not been interrupted.
        """
        aborted = not self.is_idle and not self.was_interrupted
        if self._pipelined is not None:
            self._pipelined.unwatch()
        self.socket.close()
        return aborted

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
        """Serve the next request, with those behind it that may overlap with it.

        Returns
        -------
        bool
            Whether the connection can be reused.
        """
        self.is_idle = True
        raw = self._reader.read_head()
        self.is_idle = False
        return self._serve(raw.and_then(self._parse_head))

    def _serve(self, head: Result[RequestHead, HeadError]) -> bool:
        if head.is_err():
            return self._refuse_head(head.err())
        if self.server.refusing:
            self.server.log.decision("refuse-head", self.address, "stopping")
            return self._refuse(head.ok().method, head.ok().version_minor, _stopping())
        req = self._build_request(head.ok())
        if self._may_overlap(head.ok(), req):
            return self._serve_overlapping(head.ok(), req)
        self._handling = gevent.getcurrent()
        try:
            response = self._call_handler(req)
        finally:
            self._handling = None
        return self._send_response(head.ok(), req, response)

    def _parse_head(self, raw: bytes) -> Result[RequestHead, HeadError]:
        return parse_head(raw, self.server.options)

    def _may_overlap(self, head: RequestHead, req: Request) -> bool:
        """Return whether this request may be handled beside others."""
        if head.expects_continue or not req.body.is_empty:
            return False
        return req.method in SAFE_METHODS and self.server.may_overlap(req)

    def _serve_overlapping(self, head: RequestHead, req: Request) -> bool:
        """Serve a request and those behind it, as far as they may overlap with it."""
        pipelined = PipelinedRequests(self.socket, self._call_handler)
        self._pipelined = pipelined
        pipelined.start(head, req)
        following: Result[RequestHead, HeadError] | None = None
        try:
            while pipelined:
                done = pipelined.take()
                if done is not None:
                    self._count_read_ahead(len(pipelined) - 1)
                    more = bool(pipelined) or following is not None
                    if not self._send_response(
                        done.head, done.request, done.response, more
                    ):
                        return False
                    continue
                raw, reads = None, following is None and self._may_read_ahead(pipelined)
                if reads:
                    raw = self._reader.poll_head()
                if raw is None:
                    pipelined.wait(until_readable=reads)
                    continue
                if raw.is_err() and raw.err_value.status == 0:
                    return False
                self._pipelines = True
                following = self._start_overlapping(pipelined, raw)
                self._count_read_ahead(len(pipelined) - 1)
        finally:
            self._pipelined = None
            self._count_read_ahead(0)
            if cancelled := pipelined.cancel():
                self.server.log.decision(
                    "pipelined", self.address, "cancelled", count=cancelled
                )
        return True if following is None else self._serve(following)

    def _count_read_ahead(self, count: int) -> None:
        """Record how many requests are handled before their turn."""
        count = max(count, 0)
        self.server.pipelined_count += count - self._read_ahead
        self._read_ahead = count

    def _may_read_ahead(self, pipelined: PipelinedRequests) -> bool:
        server, options = self.server, self.server.options
        return (
            not server.draining
            and not pipelined.ends_connection
            and len(pipelined) < options.max_pipelined
            and server.pipelined_count < options.max_pipelined_total
            and pipelined.held_bytes < options.max_pipelined_bytes
        )

    def _start_overlapping(
        self, pipelined: PipelinedRequests, raw: Result[bytes, HeadError]
    ) -> Result[RequestHead, HeadError] | None:
        """Start the next request; return its head if it must wait for its turn."""
        head = raw.and_then(self._parse_head)
        if head.is_err():
            return head
        req = self._build_request(head.ok_value)
        if not self._may_overlap(head.ok_value, req):
            return head
        pipelined.start(head.ok_value, req)
        return None

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
            is_disconnected=lambda: self._is_disconnected(body),
        )

    def _call_handler(self, req: Request) -> Response:
        try:
            return self.server.handler(req)
        except RequestBodyError as exc:
            return refusal_response(
                exc.status, RunState.UNKNOWN, "bad-body", exc.detail
            )
        except RequestInterruptedError:
            self.server.log.decision("cut", self.address, "end of the drain")
            return _interrupted()
        except Exception as exc:
            # A failure in one request must not affect other connections.
            self.server.log.decision("handler-error", self.address, repr(exc))
            return _internal_error()

    def _send_response(
        self, head: RequestHead, req: Request, response: Response, more: bool = False
    ) -> bool:
        """Send a response; return whether the connection can be reused.

        `more` tells that requests behind it have been read, so that their responses
        must follow.
        """
        keep_alive = more or self._can_keep_alive(head, req.body)
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
        if not req.body.is_complete or self._has_unread_requests():
            self._linger()
        return False

    def _has_unread_requests(self) -> bool:
        """Return whether a close could reset the connection and lose a response."""
        if self._pipelines or self._reader.buffered:
            return True
        return socket_state(self.socket) is SocketState.READABLE

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
            self.server.unread,
        )

    def _send_interim(self, data: bytes) -> None:
        try:
            self.socket.settimeout(self.server.options.write_timeout_s)
            self.socket.sendall(data)
        except OSError as exc:
            raise RequestBodyError(BodyFailure.DISCONNECTED, str(exc)) from exc

    def _is_disconnected(self, body: RequestBody) -> bool:
        state = socket_state(self.socket)
        if state is SocketState.READABLE and body.is_complete:
            # Requests behind this one may be unread.
            return peer_has_closed(self.socket)
        return state is SocketState.CLOSED

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


def _interrupted() -> Response:
    detail = "This VM stops; the request may have run."
    return refusal_response(504, RunState.UNKNOWN, "stopping", detail)


def _internal_error() -> Response:
    return refusal_response(
        500,
        RunState.UNKNOWN,
        "internal-error",
        "The proxy failed to handle this request.",
    )
