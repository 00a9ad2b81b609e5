"""Hands news that do not fit into a datagram to peers over a stream."""

import socket
import struct
from collections.abc import Callable

import msgspec
from gevent import socket as gsocket
from gevent.server import StreamServer

from lacewingpond.entry.peers.messages import Message, News, NewsAsk, decode, encode
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.address import parse_address

STREAM_TIMEOUT_S = 0.3  # a peer answers within 5 ms; a stopping one holds up all news
MAX_MESSAGE_BYTES = 16_000_000  # bounds what a broken peer can make us hold
_LENGTH = struct.Struct("!I")


class NewsServer:
    """Answers one question on each connection.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    answer : callable
        Returns the news for a question.
    log : DecisionLog
        Takes connections that fail.
    """

    __slots__ = ("_answer", "_log", "_server")

    def __init__(
        self,
        host: str,
        port: int,
        answer: Callable[[NewsAsk], News],
        log: DecisionLog,
    ) -> None:
        self._answer = answer
        self._log = log
        self._server = StreamServer((host, port), self._handle)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)

    def _handle(self, sock: socket.socket, address: tuple) -> None:
        try:
            sock.settimeout(STREAM_TIMEOUT_S)
            ask = _read(sock)
            if isinstance(ask, NewsAsk):
                _write(sock, self._answer(ask))
        except (OSError, msgspec.MsgspecError) as exc:
            self._log.decision("peer-stream", str(address[0]), str(exc))
        finally:
            sock.close()


def fetch_news(address: str, ask: NewsAsk) -> News | None:
    """Return all news of the peer at `address`.

    Raises
    ------
    OSError, msgspec.MsgspecError
        If the peer does not answer, or not readably.
    """
    sock = gsocket.create_connection(parse_address(address), STREAM_TIMEOUT_S)
    try:
        _write(sock, ask)
        answer = _read(sock)
    finally:
        sock.close()
    return answer if isinstance(answer, News) else None


def _write(sock: socket.socket, message: Message) -> None:
    data = encode(message)
    sock.sendall(_LENGTH.pack(len(data)) + data)


def _read(sock: socket.socket) -> Message:
    (size,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
    if size > MAX_MESSAGE_BYTES:
        raise OSError(f"a message of {size} bytes is too long")
    return decode(_read_exactly(sock, size))


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    blocks: list[bytes] = []
    while size:
        block = sock.recv(min(size, 65_536))
        if not block:
            raise OSError("the peer closed the connection early")
        blocks.append(block)
        size -= len(block)
    return b"".join(blocks)
