"""The peer channel over TCP, with connections opened on demand."""

import random

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer
from result import Err, Ok, Result

from lacewingpond.peers.addresses import AddressBook
from lacewingpond.peers.base import Handler, Message, PeerError, PeerFailure
from lacewingpond.peers.frames import FrameError
from lacewingpond.peers.handshake import Handshake, HandshakeError
from lacewingpond.peers.inbound import InboundConnection
from lacewingpond.peers.message_counts import MessageCounts
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.outbound import OutboundConnection
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

MAX_REDIAL_ENTRIES = 4_096


class TcpPeerChannel:
    """Sends messages to other VMs and dispatches received ones to handlers.

    A connection carries calls and one-way messages from the VM that opened it, and
    the responses in the other direction. The opening VM uses one greenlet for reading
    and one for writing. There is one open connection to each peer in use; beside it,
    silent ones remain until their last calls have ended.
    """

    __slots__ = (
        "message_counts",
        "_options",
        "_vm_id",
        "_handshake",
        "_addresses",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_handlers",
        "_connections",
        "_draining",
        "_redial_at",
        "_inbound",
        "_pool",
        "_server",
        "_sweep_greenlet",
        "_expiry_greenlet",
    )

    def __init__(
        self,
        options: PeerOptions,
        vm_id: str,
        handshake: Handshake,
        addresses: AddressBook,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.message_counts = MessageCounts()
        self._options = options
        self._vm_id = vm_id
        self._handshake = handshake
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._handlers: dict[str, Handler] = {}
        self._connections: dict[str, OutboundConnection] = {}
        self._draining: set[OutboundConnection] = set()
        self._redial_at: dict[str, float] = {}
        self._inbound: set[InboundConnection] = set()
        self._pool = Pool(options.max_handlers)
        self._server: StreamServer | None = None
        self._sweep_greenlet: gevent.Greenlet | None = None
        self._expiry_greenlet: gevent.Greenlet | None = None

    @classmethod
    def from_options(
        cls,
        options: PeerOptions,
        vm_id: str,
        incarnation: str,
        secret: bytes,
        addresses: AddressBook,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "TcpPeerChannel":
        """Return a channel that is not started yet.

        Parameters
        ----------
        options : PeerOptions
            Limits and timeouts.
        vm_id, incarnation : str
            This process.
        secret : bytes
            Secret shared by the whole fleet; not empty.
        addresses : AddressBook
            Finds the address of a VM.
        clock : Clock
            Source of time for call timeouts. Socket timeouts use real time.
        rng : random.Random
            Jitter of repeated attempts to connect.
        log : DecisionLog
            Gets an entry for each closed connection and each failed handler.
        metrics : Metrics
            Traffic, dropped messages and failed handlers.

        Raises
        ------
        ValueError
            If `secret` is empty.
        """
        handshake = Handshake(vm_id, incarnation, secret, options.handshake_timeout_s)
        return cls(options, vm_id, handshake, addresses, clock, rng, log, metrics)

    def start(self) -> None:
        """Listen for connections and start the periodic sweeps."""
        listener = (self._options.host, self._options.port)
        accept_pool = Pool(self._options.max_connections)
        self._server = StreamServer(listener, self._accept, spawn=accept_pool)
        self._server.start()
        self._sweep_greenlet = gevent.spawn(self._sweep)

    @property
    def port(self) -> int:
        """Port that the channel listens on; only valid after `start`."""
        return self._server.server_port

    def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._sweep_greenlet is not None:
            self._sweep_greenlet.kill()
        if self._server is not None:
            self._server.stop(timeout=0)
        for connection in self._all_connections():
            connection.end("stopping")
        for connection in list(self._inbound):
            connection.close()
        self._pool.kill(block=False)

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and wait for its response.

        Parameters
        ----------
        vm_id : str
            The receiver; with this VM's own id the local handler is called directly.
        message : Message
            The message to send.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        Result[Message, PeerError]
            The response, or why there is none; `NOT_SENT` only if writing the
            message never began or there is no local handler.
        """
        if vm_id == self._vm_id:
            return self._call_locally(message)
        connection = self._get_connection(vm_id)
        if connection is None:
            return Err(PeerError(PeerFailure.NOT_SENT, "no connection"))
        self._ensure_expiry()
        return connection.call(message, timeout_s)

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` without waiting; return False if it was dropped."""
        connection = self._get_connection(vm_id)
        sent = connection is not None and connection.send(message)
        if not sent:
            self._metrics.incr("peers.dropped")
        return sent

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Set the handler of all received messages of class `kind`."""
        self._handlers[kind.__name__] = handler

    def _call_locally(self, message: Message) -> Result[Message, PeerError]:
        name = type(message).__name__
        handler = self._handlers.get(name)
        if handler is None:
            return Err(
                PeerError(PeerFailure.NOT_SENT, "no handler for this message class")
            )
        try:
            response = handler(self._vm_id, message)
        except Exception as exc:  # noqa: BLE001
            self._report_handler_error(self._vm_id, name, exc)
            return Err(PeerError(PeerFailure.UNKNOWN, "handler failed"))
        if response is None:
            return Err(PeerError(PeerFailure.UNKNOWN, "handler returned no response"))
        return Ok(response)

    def _get_connection(self, vm_id: str) -> OutboundConnection | None:
        connection = self._connections.get(vm_id)
        if connection is not None:
            return connection
        if self._clock.now() < self._redial_at.get(vm_id, 0.0):
            return None
        if self._addresses.address(vm_id) is None:
            return None
        connection = OutboundConnection(
            vm_id,
            self._connect,
            self._options,
            self.message_counts,
            self._clock,
            self._on_connection_end,
        )
        self._connections[vm_id] = connection
        return connection

    def _connect(self, vm_id: str) -> socket.socket:
        address = self._addresses.address(vm_id)
        if address is None:
            raise OSError("the VM's address is unknown")
        host, _, port = address.rpartition(":")
        timeout_s = self._options.connect_timeout_s
        sock = socket.create_connection((host, int(port)), timeout=timeout_s)
        try:
            _configure_socket(sock, self._options.write_timeout_s)
            self._handshake.dial(sock, vm_id)
        except BaseException:
            sock.close()
            raise
        return sock

    def _on_connection_end(self, connection: OutboundConnection, reason: str) -> None:
        if self._connections.get(connection.vm_id) is connection:
            del self._connections[connection.vm_id]
        self._draining.discard(connection)
        if not connection.connected:
            self._delay_redial(connection.vm_id)
        self._log.decision("peer-closed", connection.vm_id, reason, direction="out")

    def _delay_redial(self, vm_id: str) -> None:
        if len(self._redial_at) >= MAX_REDIAL_ENTRIES:
            self._redial_at.clear()
        delay_s = self._options.redial_delay_s * self._rng.uniform(1.0, 2.0)
        self._redial_at[vm_id] = self._clock.now() + delay_s

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        which = f"{address[0]}:{address[1]}"
        try:
            _configure_socket(sock, self._options.write_timeout_s)
            session = self._handshake.accept(sock)
        except (OSError, HandshakeError, FrameError) as exc:
            self._log.decision("peer-closed", which, f"handshake failed: {exc}")
            return
        sock.settimeout(2 * self._options.idle_close_s)
        connection = InboundConnection(
            session.vm_id,
            sock,
            self._options,
            self._handlers,
            self._pool,
            self.message_counts,
            self._report_handler_error,
        )
        self._inbound.add(connection)
        try:
            reason = connection.serve()
        finally:
            self._inbound.discard(connection)
        self._log.decision("peer-closed", session.vm_id, reason, direction="in")

    def _report_handler_error(self, vm_id: str, kind: str, exc: Exception) -> None:
        self._metrics.incr("peers.handler_failed")
        why = f"{type(exc).__name__}: {exc}"
        self._log.decision("peer-handler-failed", kind, why, sender=vm_id)

    def _sweep(self) -> None:
        """Close idle connections and flush the message counts, periodically."""
        while True:
            self._clock.sleep(self._options.flush_interval_s)
            now = self._clock.now()
            for connection in list(self._connections.values()):
                if connection.is_idle(now):
                    connection.end("idle")
            self.message_counts.flush(self._metrics)

    def _ensure_expiry(self) -> None:
        if self._expiry_greenlet is None:
            self._expiry_greenlet = gevent.spawn(self._run_expiry)

    def _run_expiry(self) -> None:
        """Fail timed-out calls for as long as any call waits."""
        while any(connection.has_waiting for connection in self._all_connections()):
            self._clock.sleep(self._options.expiry_interval_s)
            now = self._clock.now()
            for connection in self._all_connections():
                self._expire_calls(connection, now)
        self._expiry_greenlet = None

    def _expire_calls(self, connection: OutboundConnection, now: float) -> None:
        if (
            connection.expire(now)
            and self._connections.get(connection.vm_id) is connection
        ):
            # New messages use a new connection; the other calls may still succeed.
            del self._connections[connection.vm_id]
            self._draining.add(connection)
        if connection in self._draining and not connection.has_waiting:
            connection.end("silent")

    def _all_connections(self) -> list[OutboundConnection]:
        return [*self._connections.values(), *self._draining]


def _configure_socket(sock: socket.socket, write_timeout_s: float) -> None:
    """Disable Nagle's algorithm and bound the time that bytes stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        timeout_ms = round(write_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
