"""Sends and receives datagrams between daemons."""

import itertools
import random
import socket
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket as gsocket
from gevent.event import Event

from lacewingpond.entry.peers.messages import Message, decode, encode
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.address import parse_address
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

MAX_DATAGRAM_BYTES = 1_200  # fits into one packet on any path

Handler = Callable[[Message, str], None]
"""Takes a message and the ``host:port`` of its sender."""


class _Waiting:
    """A question without an answer yet."""

    __slots__ = ("arrived", "answer")

    def __init__(self) -> None:
        self.arrived = Event()
        self.answer: Message | None = None


class PeerChannel:
    """One datagram socket, with one greenlet that receives.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    clock : Clock
        Measures how long answers take.
    rng : random.Random
        Draws the first number of a question, which differs after a restart.
    log : DecisionLog
        Takes messages that can't be read.
    """

    __slots__ = (
        "_sock",
        "_clock",
        "_log",
        "_numbers",
        "_waiting",
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
        self._clock = clock
        self._sock = gsocket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, port))
        self._log = log
        self._numbers = itertools.count(rng.getrandbits(32))
        self._waiting: dict[int, _Waiting] = {}
        self._handlers: dict[type, Handler] = {}
        self._greenlet: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the socket."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def on(self, kind: type, handler: Handler) -> None:
        """Call `handler` with each message of `kind` and its sender."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Receive from now on."""
        self._greenlet = gevent.spawn(self._receive)

    def stop(self) -> None:
        """Receive no more."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._sock.close()

    def send(self, to: str, message: Message) -> None:
        """Send a message, which may be lost, to ``host:port``."""
        self._send(to, encode(message))

    def broadcast(self, addresses: list[str], message: Message) -> None:
        """Send one message to several peers."""
        data = encode(message)
        for address in addresses:
            self._send(address, data)

    def ask(
        self, address: str, make: Callable[[int], Message], timeout_s: float
    ) -> Message | None:
        """Send the question that `make` builds and return its answer, if any."""
        number = next(self._numbers)
        waiting = self._waiting[number] = _Waiting()
        try:
            self.send(address, make(number))
            wait_for(waiting.arrived, self._clock, timeout_s)
            return waiting.answer
        finally:
            del self._waiting[number]

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
                self._take(decode(data), sender)
            except msgspec.MsgspecError as exc:
                self._log.decision("peer", sender, f"unreadable message: {exc}")
            except Exception as exc:
                # One bad message must not end the receiver.
                self._log.decision("peer", sender, f"message failed: {exc!r}")

    def _take(self, message: Message, sender: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
            return
        waiting = self._waiting.get(getattr(message, "number", -1))
        if waiting is not None:
            waiting.answer = message
            waiting.arrived.set()
