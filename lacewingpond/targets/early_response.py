"""Decides whether a target has responded before it was sent the whole request."""

import http.client
import io
import socket

from lacewingpond.targets.errors import ExchangeError
from lacewingpond.targets.http_connection import FinalResponse
from lacewingpond.util.sockets import peer_has_closed

MAX_PEEK_BYTES = 131_072
"""More than the longest line that the parser accepts.

A response to another request that fills it is undecided, so that the body is sent on.
"""


def peek(sock: socket.socket) -> tuple[bytes, bool]:
    """Return bytes that can be read, and whether the peer has closed its side.

    A socket with an error counts as closed.
    """
    timeout_s = sock.gettimeout()
    try:
        sock.settimeout(0.0)
        data = sock.recv(MAX_PEEK_BYTES, socket.MSG_PEEK)
        if not data:
            return b"", True
    except BlockingIOError:
        return b"", False
    except OSError:
        return b"", True
    finally:
        sock.settimeout(timeout_s)
    # A peek does not reach an end of stream that follows unread bytes.
    return data, peer_has_closed(sock)


def holds_final_response(
    data: bytes, method: str, id_header: str = "", expected_id: str | None = None
) -> bool:
    """Return whether the parser of responses would return or fail within `data`.

    It returns at the final response that has `expected_id` or no id, and fails at
    bytes that it rejects. False means that it needs more bytes: `data` holds only
    interim responses, responses to other requests, and the start of a head or of a
    response to another request.

    Parameters
    ----------
    data : bytes
        First bytes that the target sent since the request was begun.
    method : str
        Method of the request.
    id_header : str
        Response header with the id of its request; empty if none.
    expected_id : str or None
        Id of the request.
    """
    response = FinalResponse(_PeekedBytes(data), method=method)
    response.id_header = id_header
    response.expected_id = expected_id
    try:
        response.begin()
    except _MoreBytesNeededError:
        return False
    except (ExchangeError, http.client.HTTPException, OSError):
        return True
    finally:
        response.close()
    return True


class _MoreBytesNeededError(Exception):
    """The parser has read all bytes that were peeked at."""


class _PeekedBytes(io.RawIOBase):
    """Takes the place of a connection's socket and stream for `FinalResponse`."""

    at_eof = False

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self._data = io.BytesIO(data)
        self._stopped = False

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader of the bytes."""
        del mode
        return io.BufferedReader(self)

    def stop(self) -> None:
        """Make further reads return the end of the stream."""
        self._stopped = True

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int:
        """Read bytes into `buffer` and return their number."""
        if self._stopped:
            return 0
        size = self._data.readinto(buffer)
        if size == 0:
            raise _MoreBytesNeededError
        return size
