"""Reads responses from sockets, with a callback that waits for their bytes."""

import io
import socket
from collections.abc import Callable

WaitReadable = Callable[[int], None]
"""Waits until a file descriptor is readable; raises to end the exchange."""


class ResponseStream(io.RawIOBase):
    """The unbuffered bytes of a response.

    Parameters
    ----------
    sock : socket.socket
        Connection to the target.
    wait : callable
        Called before each read.
    send_error : OSError or None
        Error that a send has taken from the connection. The end of the stream is
        then not that of the response, and a read at it raises.

    Attributes
    ----------
    at_eof : bool
        True once the target has closed its side and all bytes were read.
    """

    def __init__(
        self, sock: socket.socket, wait: WaitReadable, send_error: OSError | None
    ) -> None:
        super().__init__()
        self._raw = sock.makefile("rb", 0)
        self._wait = wait
        self._send_error = send_error
        self._stopped = False
        self.at_eof = False

    def stop(self) -> None:
        """Make further reads return the end of the stream."""
        self._stopped = True

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int | None:
        """Wait for bytes, read them into `buffer` and return their number."""
        if self._stopped:
            return 0
        self._wait(self._raw.fileno())
        size = self._raw.readinto(buffer)
        self.at_eof = size == 0
        if self.at_eof and self._send_error is not None:
            raise ConnectionResetError(
                "connection broken before the end of the response"
            ) from self._send_error
        return size

    def close(self) -> None:
        """Close the file of the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class ResponseSocket:
    """Replaces the socket from which `http.client` opens its reader."""

    __slots__ = ("_sock", "_wait", "_send_error")

    def __init__(
        self, sock: socket.socket, wait: WaitReadable, send_error: OSError | None
    ) -> None:
        self._sock = sock
        self._wait = wait
        self._send_error = send_error

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader over a `ResponseStream`."""
        del mode
        return io.BufferedReader(
            ResponseStream(self._sock, self._wait, self._send_error)
        )
