"""Accepts connections of callers and passes their requests to a handler."""

import socket
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.server import StreamServer

from lacewingpond.http.connection import CallerConnection
from lacewingpond.http.drain_plan import ANSWER_S, SETTLE_S, DrainPhase, DrainPlan
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.http.unread import UnreadResponses
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

Handler = Callable[[Request], Response]

DRAIN_POLL_S = 0.02
MAX_CONCURRENT_REFUSALS = 64
"""Connections above the limits that are sent a refusal at the same time; further
ones are closed without a response."""


class CallerServer:
    """An HTTP/1.1 server with one greenlet for each connection.

    Parameters
    ----------
    options : HttpOptions
        Address, limits and timeouts.
    handler : callable
        Takes a `Request` and returns a `Response`.
    log : DecisionLog
        Receives refusals and connection errors.
    clock : Clock
        Measures timeouts.
    may_overlap : callable
        Returns whether a `Request` may be handled while others of its connection are;
        asked for requests without a body whose method is safe.
    unread : UnreadResponses
        Bounds what is held for callers that read nothing; servers may share it.

    Attributes
    ----------
    pipelined_count : int
        Number of requests that are handled before their turn.
    """

    __slots__ = (
        "options",
        "handler",
        "may_overlap",
        "unread",
        "pipelined_count",
        "log",
        "clock",
        "draining",
        "refusing",
        "_listener",
        "_connections",
        "_per_address",
        "_refusals",
    )

    def __init__(
        self,
        options: HttpOptions,
        handler: Handler,
        log: DecisionLog,
        clock: Clock,
        may_overlap: Callable[[Request], bool],
        unread: UnreadResponses,
    ) -> None:
        self.options = options
        self.handler = handler
        self.may_overlap = may_overlap
        self.unread = unread
        self.pipelined_count = 0
        self.log = log
        self.clock = clock
        self.draining = self.refusing = False
        self._listener = _Listener(self)
        self._connections: set[CallerConnection] = set()
        self._per_address: Counter[str] = Counter()
        self._refusals = 0

    @classmethod
    def from_options(
        cls,
        options: HttpOptions,
        handler: Handler,
        log: DecisionLog,
        clock: Clock,
        may_overlap: Callable[[Request], bool] | None = None,
        unread: UnreadResponses | None = None,
    ) -> "CallerServer":
        """Return a server that does not listen yet.

        Without `may_overlap` the requests of a connection are handled in turn.
        """
        unread = unread or UnreadResponses()
        return cls(options, handler, log, clock, may_overlap or _never, unread)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._listener.server_port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def request_count(self) -> int:
        """Number of requests being served."""
        return sum(not conn.is_idle for conn in self._connections)

    def start(self) -> None:
        """Start to accept connections.

        Raises
        ------
        OSError
            If the address can't be listened on.
        """
        self._listener.start()

    def stop_accepting(self) -> None:
        """Accept connections that the kernel has queued, then close the listener.

        An error of accepting them, such as the limit of open files, is logged.
        """
        if self._listener.closed:
            return
        try:
            self._listener.accept_pending()
        except OSError as exc:
            self.log.decision("listener", str(self.port), f"stopped accepting: {exc}")
        self._listener.close()

    def drain(self, grace_s: float) -> int:
        """Wait for running requests, then close all connections.

        From now on each connection is closed after its response; `DrainPhase` tells
        what becomes of requests. The callers of requests that still run at the end are
        told so, as far as no byte of a response was sent.

        Parameters
        ----------
        grace_s : float
            Longest wait for running requests, in seconds.

        Returns
        -------
        int
            Number of requests that were interrupted or aborted at the end of the wait.
        """
        self.draining = True
        # Let the greenlets of connections that were just accepted start.
        gevent.sleep(0)
        plan = DrainPlan.from_options(self.options, self.clock.now(), grace_s)
        while self._connections:
            phase = plan.phase(self.clock.now())
            if phase >= DrainPhase.ANSWERING:
                break
            if phase >= DrainPhase.CLOSING_IDLE:
                self._close_idle()
            self.refusing = phase >= DrainPhase.REFUSING
            self.clock.sleep(DRAIN_POLL_S)
        return self._end_requests()

    def _end_requests(self) -> int:
        """Close all connections; return how many requests had no whole response."""
        self.refusing = True
        self._close_idle()
        if self.request_count:
            self.clock.sleep(SETTLE_S)
        connections = tuple(self._connections)
        for conn in connections:
            conn.interrupt()
        answers_by = self.clock.now() + ANSWER_S
        while self.request_count and self.clock.now() < answers_by:
            self.clock.sleep(DRAIN_POLL_S)
        aborted = sum(conn.abort() for conn in tuple(self._connections))
        return aborted + sum(conn.was_interrupted for conn in connections)

    def stop(self) -> None:
        """Stop at once; running requests are aborted."""
        self.stop_accepting()
        self.drain(0.0)

    def serve_connection(self, sock: socket.socket, address: str) -> None:
        """Serve or refuse one accepted connection until it is closed."""
        conn = CallerConnection(sock, address, self)
        if self._exceeds_limit(address):
            self._refuse(conn)
            return
        self._connections.add(conn)
        self._per_address[address] += 1
        try:
            conn.handle()
        finally:
            self._connections.discard(conn)
            self._release_address(address)

    def _refuse(self, conn: CallerConnection) -> None:
        if self._refusals >= MAX_CONCURRENT_REFUSALS:
            conn.socket.close()
            return
        self._refusals += 1
        try:
            conn.refuse(_too_many_connections())
        finally:
            self._refusals -= 1

    def _exceeds_limit(self, address: str) -> bool:
        """Return whether a limit of connections is reached, and log it if so."""
        if len(self._connections) >= self.options.max_connections:
            limit = "connections"
        elif self._per_address[address] >= self.options.max_connections_per_address:
            limit = "connections per address"
        else:
            return False
        self.log.decision("refuse-connection", address, f"reached the limit of {limit}")
        return True

    def _release_address(self, address: str) -> None:
        self._per_address[address] -= 1
        if self._per_address[address] <= 0:
            del self._per_address[address]

    def _close_idle(self) -> None:
        closed = sum(conn.close_if_idle() for conn in tuple(self._connections))
        if closed:
            self.log.decision("idle", str(self.port), "closed in a drain", count=closed)


class _Listener(StreamServer):
    """Accepts connections and starts a greenlet for each."""

    def __init__(self, caller_server: CallerServer) -> None:
        options = caller_server.options
        super().__init__((options.host, options.port), backlog=options.backlog)
        self._caller_server = caller_server

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one accepted connection."""
        self._caller_server.serve_connection(sock, str(address[0]))

    def accept_pending(self) -> None:
        """Accept all connections that the kernel has queued."""
        while accepted := self.do_read():
            self.do_handle(*accepted)


def _never(req: Request) -> bool:
    del req
    return False


def _too_many_connections() -> Response:
    return refusal_response(
        503,
        RunState.NOT_RUN,
        "too-many-connections",
        "The proxy has reached its limit of connections.",
        retry_after_s=1.0,
    )
