"""Reads an answer from a socket, and checks the time and the caller while waiting."""

import io
import socket
from collections.abc import Callable

Wait = Callable[[int], None]
"""Waits until a file descriptor is readable, or raises what ends the wait."""


class AnswerStream(io.RawIOBase):
    """The unbuffered bytes of an answer.

    Parameters
    ----------
    sock : socket.socket
        Connection to the target.
    wait : callable
        Called before each read.

    Attributes
    ----------
    ended : bool
        True once the target's end of the stream was read.
    """

    def __init__(self, sock: socket.socket, wait: Wait) -> None:
        super().__init__()
        self._raw = sock.makefile("rb", 0)
        self._wait = wait
        self._stopped = False
        self.ended = False

    def stop(self) -> None:
        """Let further reads find the end of the stream."""
        self._stopped = True

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int | None:
        """Wait for bytes and put them into `buffer`."""
        if self._stopped:
            return 0
        self._wait(self._raw.fileno())
        size = self._raw.readinto(buffer)
        self.ended = size == 0
        return size

    def close(self) -> None:
        """Let go of the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class AnswerSource:
    """Stands in for the socket where `http.client` opens its reader."""

    __slots__ = ("_sock", "_wait")

    def __init__(self, sock: socket.socket, wait: Wait) -> None:
        self._sock = sock
        self._wait = wait

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader over an `AnswerStream`."""
        del mode
        return io.BufferedReader(AnswerStream(self._sock, self._wait))
