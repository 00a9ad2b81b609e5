"""Datagrams between entry daemons, with matching of responses to requests.

`lacewingpond.peers.tcp` has the channel of the standalone daemon.
"""

import itertools
import random
import socket
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket as gsocket
from gevent.event import Event

from lacewingpond.entry.peers.messages import PeerMessage, decode, encode, kind_of
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.address import parse_address
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

MAX_DATAGRAM_BYTES = 1_200  # one unfragmented packet on any path
MAX_LOGGED_UNKNOWN = 1_000  # pairs of sender and kind; later ones are only counted

Handler = Callable[[PeerMessage, str], None]
"""Called with a message and the ``host:port`` of its sender."""


class _PendingRequest:
    """A request that waits for its response."""

    __slots__ = ("received", "response")

    def __init__(self) -> None:
        self.received = Event()
        self.response: PeerMessage | None = None


class DatagramChannel:
    """A UDP socket that one greenlet receives from.

    Parameters
    ----------
    host, port : str, int
        Address to bind.
    clock : Clock
        Times out requests.
    rng : random.Random
        Draws the first request number, so that a late response to an earlier process
        of this daemon does not match a new request.
    log : DecisionLog
        Log of messages that can't be sent, decoded or handled. One that can't be
        decoded, such as a kind that only newer builds have, is logged once for each
        sender and kind.

    Attributes
    ----------
    unknown_count : int
        Number of messages that could not be decoded.
    """

    __slots__ = (
        "unknown_count",
        "_unknown",
        "_sock",
        "_clock",
        "_log",
        "_request_numbers",
        "_pending",
        "_handlers",
        "_greenlet",
    )

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.unknown_count = 0
        self._unknown: set[tuple[str, object]] = set()
        self._clock = clock
        self._sock = gsocket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, port))
        self._log = log
        self._request_numbers = itertools.count(rng.getrandbits(32))
        self._pending: dict[int, _PendingRequest] = {}
        self._handlers: dict[type, Handler] = {}
        self._greenlet: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """``host:port`` that the socket is bound to."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def register(self, kind: type, handler: Handler) -> None:
        """Call `handler` with each message of type `kind` and its sender's address.

        The handler runs in the receiving greenlet, so it must not block. A message
        without a handler is taken for the response to a request.
        """
        self._handlers[kind] = handler

    def start(self) -> None:
        """Start to receive."""
        self._greenlet = gevent.spawn(self._receive)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._sock.close()

    def send(self, to: str, message: PeerMessage) -> None:
        """Send a message to ``host:port``; it may be lost."""
        self._send(to, encode(message))

    def broadcast(self, addresses: list[str], message: PeerMessage) -> None:
        """Send one message to several peers; it may be lost."""
        data = encode(message)
        for address in addresses:
            self._send(address, data)

    def call(
        self, address: str, make_request: Callable[[int], PeerMessage], timeout_s: float
    ) -> PeerMessage | None:
        """Send a request and wait for its response.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        make_request : callable
            Builds the request from its number.
        timeout_s : float
            Longest wait for the response, in seconds.

        Returns
        -------
        PeerMessage or None
            The response; None after the timeout.
        """
        number = next(self._request_numbers)
        pending = self._pending[number] = _PendingRequest()
        try:
            self.send(address, make_request(number))
            wait_for(pending.received, self._clock, timeout_s)
            return pending.response
        finally:
            del self._pending[number]

    def _send(self, to: str, data: bytes) -> None:
        try:
            self._sock.sendto(data, parse_address(to))
        except OSError as exc:
            self._log.decision("peer", to, f"not sent: {exc}")

    def _receive(self) -> None:
        while True:
            try:
                data, (host, port) = self._sock.recvfrom(65_535)
            except OSError as exc:
                self._log.decision("peer", "socket", str(exc))
                gevent.sleep(0.1)
                continue
            sender = f"{host}:{port}"
            try:
                self._dispatch(decode(data), sender)
            except msgspec.MsgspecError as exc:
                self._record_unknown(sender, data, str(exc))
            except Exception as exc:
                # An error in one handler must not end the receive loop.
                self._log.decision("peer", sender, f"can't handle message: {exc!r}")

    def _record_unknown(self, sender: str, data: bytes, why: str) -> None:
        self.unknown_count += 1
        kind = kind_of(data)
        if (sender, kind) in self._unknown or len(self._unknown) >= MAX_LOGGED_UNKNOWN:
            return
        self._unknown.add((sender, kind))
        self._log.decision("peer", sender, f"can't decode message: {why}", kind=kind)

    def _dispatch(self, message: PeerMessage, sender: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
            return
        pending = self._pending.get(getattr(message, "number", -1))
        if pending is not None:
            pending.response = message
            pending.received.set()
