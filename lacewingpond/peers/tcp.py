"""The peer channel over TCP: connections on demand, one for each peer in use."""

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
from lacewingpond.peers.inbound import InboundLink
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.outbound import OutboundLink
from lacewingpond.peers.traffic import Traffic
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

MAX_TRACKED_FAILURES = 4_096


class TcpPeerChannel:
    """Sends messages to other VMs and hands arriving ones to their handlers.

    A connection carries calls and one-way messages from the VM that opened it, and
    the answers back. It has one greenlet that reads and one that writes.
    """

    __slots__ = (
        "traffic",
        "_options",
        "_vm_id",
        "_handshake",
        "_addresses",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_handlers",
        "_links",
        "_retired",
        "_redial_at",
        "_inbound",
        "_pool",
        "_server",
        "_sweeper",
        "_expiry",
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
        self.traffic = Traffic()
        self._options = options
        self._vm_id = vm_id
        self._handshake = handshake
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._handlers: dict[str, Handler] = {}
        self._links: dict[str, OutboundLink] = {}
        self._retired: set[OutboundLink] = set()
        self._redial_at: dict[str, float] = {}
        self._inbound: set[InboundLink] = set()
        self._pool = Pool(options.max_handlers)
        self._server: StreamServer | None = None
        self._sweeper: gevent.Greenlet | None = None
        self._expiry: gevent.Greenlet | None = None

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
        """Create a channel that is not yet started.

        Parameters
        ----------
        options : PeerOptions
            Bounds and timeouts.
        vm_id, incarnation : str
            This process.
        secret : bytes
            Shared by the whole fleet; not empty.
        addresses : AddressBook
            Finds the address of a VM.
        clock : Clock
            Times out calls. Sockets have timeouts of their own in real time.
        rng : random.Random
            Spreads repeated attempts to connect.
        log, metrics : DecisionLog, Metrics
            Take ended connections and counted traffic.
        """
        handshake = Handshake(vm_id, incarnation, secret, options.handshake_timeout_s)
        return cls(options, vm_id, handshake, addresses, clock, rng, log, metrics)

    def start(self) -> None:
        """Listen, and begin to time out calls."""
        listener = (self._options.host, self._options.port)
        accepted = Pool(self._options.max_connections)
        self._server = StreamServer(listener, self._accept, spawn=accepted)
        self._server.start()
        self._sweeper = gevent.spawn(self._sweep)

    @property
    def port(self) -> int:
        """Port that the channel listens on."""
        return self._server.server_port

    def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._sweeper is not None:
            self._sweeper.kill()
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in self._all_links():
            link.end("stopping")
        for link in list(self._inbound):
            link.close()
        self._pool.kill(block=False)

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and wait for its answer.

        Parameters
        ----------
        vm_id : str
            The receiver; this VM's own id reaches the local handler.
        message : Message
            What to send.
        timeout_s : float
            Longest wait, in seconds of the clock.

        Returns
        -------
        Result[Message, PeerError]
            The answer, or what is known of the call: `NOT_SENT` only when the
            writing of its bytes never began.
        """
        if vm_id == self._vm_id:
            return self._call_locally(message)
        link = self._link(vm_id)
        if link is None:
            return Err(PeerError(PeerFailure.NOT_SENT, "no connection"))
        self._ensure_expiry()
        return link.call(message, timeout_s)

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` without waiting; False when it was dropped."""
        link = self._link(vm_id)
        sent = link is not None and link.send(message)
        if not sent:
            self._metrics.incr("peers.dropped")
        return sent

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Let `handler` take all arriving messages of class `kind`."""
        self._handlers[kind.__name__] = handler

    def _call_locally(self, message: Message) -> Result[Message, PeerError]:
        name = type(message).__name__
        handler = self._handlers.get(name)
        if handler is None:
            return Err(PeerError(PeerFailure.NOT_SENT, "no handler"))
        try:
            answer = handler(self._vm_id, message)
        except Exception as exc:  # noqa: BLE001
            self._handler_failed(self._vm_id, name, exc)
            return Err(PeerError(PeerFailure.UNKNOWN, "handler failed"))
        if answer is None:
            return Err(PeerError(PeerFailure.UNKNOWN, "handler gave no answer"))
        return Ok(answer)

    def _link(self, vm_id: str) -> OutboundLink | None:
        link = self._links.get(vm_id)
        if link is not None:
            return link
        if self._clock.now() < self._redial_at.get(vm_id, 0.0):
            return None
        if self._addresses.address(vm_id) is None:
            return None
        link = OutboundLink(
            vm_id, self._connect, self._options, self.traffic, self._clock, self._ended
        )
        self._links[vm_id] = link
        return link

    def _connect(self, vm_id: str) -> socket.socket:
        address = self._addresses.address(vm_id)
        if address is None:
            raise OSError("address not known")
        host, _, port = address.rpartition(":")
        timeout_s = self._options.connect_timeout_s
        sock = socket.create_connection((host, int(port)), timeout=timeout_s)
        try:
            _tune(sock, self._options.write_timeout_s)
            self._handshake.dial(sock, vm_id)
        except BaseException:
            sock.close()
            raise
        return sock

    def _ended(self, link: OutboundLink, reason: str) -> None:
        if self._links.get(link.vm_id) is link:
            del self._links[link.vm_id]
        self._retired.discard(link)
        if not link.connected:
            self._delay_redial(link.vm_id)
        self._log.decision("peer-closed", link.vm_id, reason, direction="out")

    def _delay_redial(self, vm_id: str) -> None:
        if len(self._redial_at) >= MAX_TRACKED_FAILURES:
            self._redial_at.clear()
        delay_s = self._options.redial_delay_s * self._rng.uniform(1.0, 2.0)
        self._redial_at[vm_id] = self._clock.now() + delay_s

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        which = f"{address[0]}:{address[1]}"
        try:
            _tune(sock, self._options.write_timeout_s)
            session = self._handshake.accept(sock)
        except (OSError, HandshakeError, FrameError) as exc:
            self._log.decision("peer-closed", which, f"handshake failed: {exc}")
            return
        sock.settimeout(2 * self._options.idle_close_s)
        link = InboundLink(
            session.vm_id,
            sock,
            self._options,
            self._handlers,
            self._pool,
            self.traffic,
            self._handler_failed,
        )
        self._inbound.add(link)
        try:
            reason = link.serve()
        finally:
            self._inbound.discard(link)
        self._log.decision("peer-closed", session.vm_id, reason, direction="in")

    def _handler_failed(self, vm_id: str, kind: str, exc: Exception) -> None:
        self._metrics.incr("peers.handler_failed")
        why = f"{type(exc).__name__}: {exc}"
        self._log.decision("peer-handler-failed", kind, why, sender=vm_id)

    def _sweep(self) -> None:
        """Close idle connections and pass on the counted traffic."""
        while True:
            self._clock.sleep(self._options.flush_interval_s)
            now = self._clock.now()
            for link in list(self._links.values()):
                if link.is_idle(now):
                    link.end("idle")
            self.traffic.flush(self._metrics)

    def _ensure_expiry(self) -> None:
        if self._expiry is None:
            self._expiry = gevent.spawn(self._expire)

    def _expire(self) -> None:
        """Time out calls for as long as any call waits."""
        while any(link.has_waiting for link in self._all_links()):
            self._clock.sleep(self._options.expiry_interval_s)
            now = self._clock.now()
            for link in self._all_links():
                self._expire_link(link, now)
        self._expiry = None

    def _expire_link(self, link: OutboundLink, now: float) -> None:
        if link.expire(now) and self._links.get(link.vm_id) is link:
            # New messages take a new connection; calls in flight may still end here.
            del self._links[link.vm_id]
            self._retired.add(link)
        if link in self._retired and not link.has_waiting:
            link.end("silent")

    def _all_links(self) -> list[OutboundLink]:
        return [*self._links.values(), *self._retired]


def _tune(sock: socket.socket, write_timeout_s: float) -> None:
    """Send without delay, and end a connection whose bytes stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        timeout_ms = round(write_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
