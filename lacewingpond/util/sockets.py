"""Socket options, and the state of a socket without reading from it."""

import fcntl
import socket
import struct
import termios
from enum import Enum

_INT = struct.Struct("i")
_TCP_ESTABLISHED = 1  # first byte of the TCP_INFO of Linux


class SocketState(Enum):
    """What a read of a socket would find."""

    NO_DATA = "quiet"
    READABLE = "readable"
    CLOSED = "closed"


def socket_state(sock: socket.socket) -> SocketState:
    """Return what the next read of `sock` would find, without consuming data.

    A socket with an error counts as closed.
    """
    timeout = sock.gettimeout()
    try:
        sock.settimeout(0.0)
        data = sock.recv(1, socket.MSG_PEEK)
        sock.settimeout(timeout)
    except BlockingIOError:
        sock.settimeout(timeout)
        return SocketState.NO_DATA
    except OSError:
        return SocketState.CLOSED
    return SocketState.READABLE if data else SocketState.CLOSED


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side, even behind unread bytes.

    False also if the system does not tell.
    """
    try:
        # The state is the first byte of the structure that Linux returns.
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    return state != _TCP_ESTABLISHED


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Return how many sent bytes the peer's system has not accepted yet.

    It accepts bytes as the peer reads. None if this system does not tell, or the socket
    is closed.
    """
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        # The socket was closed meanwhile, or knows no such request.
        return None
    return _INT.unpack(raw)[0]


def set_stream_options(
    sock: socket.socket, idle_s: int, interval_s: int, probes: int
) -> None:
    """Disable Nagle's algorithm and enable TCP keep-alive.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    idle_s, interval_s, probes : int
        Keep-alive probes: idle time before the first and interval between them, in
        seconds, and how many may be lost before the connection counts as dead.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
