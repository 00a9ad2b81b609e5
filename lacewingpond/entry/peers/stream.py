"""Transfers changes that exceed a datagram to peers over TCP, in one message."""

import socket
import struct
from collections.abc import Callable

import msgspec
from gevent import socket as gsocket
from gevent.server import StreamServer

from lacewingpond.entry.peers.messages import (
    ChangesRequest,
    ChangesResponse,
    PeerMessage,
    decode,
    encode,
)
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.address import parse_address

STREAM_TIMEOUT_S = 0.3  # peers respond within 5 ms; a hung one blocks other pulls
MAX_MESSAGE_BYTES = 16_000_000  # bounds the memory that a faulty peer can take
_LENGTH_PREFIX = struct.Struct("!I")


class ChangesServer:
    """Serves one request and its whole response on each connection.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    respond : callable
        Returns the changes for a request.
    log : DecisionLog
        Log of connections that fail.
    """

    __slots__ = ("_respond", "_log", "_server")

    def __init__(
        self,
        host: str,
        port: int,
        respond: Callable[[ChangesRequest], ChangesResponse],
        log: DecisionLog,
    ) -> None:
        self._respond = respond
        self._log = log
        self._server = StreamServer((host, port), self._handle)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _handle(self, sock: socket.socket, address: tuple) -> None:
        try:
            sock.settimeout(STREAM_TIMEOUT_S)
            request = _read(sock)
            if isinstance(request, ChangesRequest):
                _write(sock, self._respond(request))
        except (OSError, msgspec.MsgspecError) as exc:
            self._log.decision("peer-stream", str(address[0]), str(exc))
        finally:
            sock.close()


def fetch_changes(address: str, request: ChangesRequest) -> ChangesResponse | None:
    """Request changes over TCP from the peer at `address`, and return them all.

    Returns
    -------
    ChangesResponse or None
        None if the peer responds with another message.

    Raises
    ------
    OSError
        If the peer can't be reached, does not respond in time, closes the connection
        early or responds with too long a message.
    msgspec.MsgspecError
        If the response can't be decoded.
    """
    sock = gsocket.create_connection(parse_address(address), STREAM_TIMEOUT_S)
    try:
        _write(sock, request)
        response = _read(sock)
    finally:
        sock.close()
    return response if isinstance(response, ChangesResponse) else None


def _write(sock: socket.socket, message: PeerMessage) -> None:
    data = encode(message)
    sock.sendall(_LENGTH_PREFIX.pack(len(data)) + data)


def _read(sock: socket.socket) -> PeerMessage:
    (size,) = _LENGTH_PREFIX.unpack(_read_exactly(sock, _LENGTH_PREFIX.size))
    if size > MAX_MESSAGE_BYTES:
        raise OSError(f"message of {size} bytes is too long")
    return decode(_read_exactly(sock, size))


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    blocks: list[bytes] = []
    while size:
        block = sock.recv(min(size, 65_536))
        if not block:
            raise OSError("peer closed the connection early")
        blocks.append(block)
        size -= len(block)
    return b"".join(blocks)
