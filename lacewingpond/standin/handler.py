"""HTTP connections of the stand-ins, which faults can abort."""

import errno
import socket

from gevent.pywsgi import WSGIHandler

CONNECTION_KEY = "lacewingpond.connection"


class Connection:
    """Connection that a request was received on.

    Parameters
    ----------
    sock : socket
        Socket of the connection.
    opened_at : float
        When it was accepted, in seconds of the server's clock.
    """

    __slots__ = ("_socket", "opened_at")

    def __init__(self, sock: socket.socket, opened_at: float) -> None:
        self._socket = sock
        self.opened_at = opened_at

    def abort(self) -> None:
        """Close the connection without a response."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def drop_request(self) -> OSError:
        """Abort the connection; return the error to raise in the request's handler."""
        self.abort()
        return BrokenPipeError(errno.EPIPE, "the stand-in dropped the connection")


class ConnectionHandler(WSGIHandler):
    """Adds the connection to the WSGI environment, as `CONNECTION_KEY`."""

    def handle(self) -> None:
        """Serve the connection until it is closed."""
        if self.server.no_delay:
            # Headers and body are separate writes. With Nagle's algorithm the
            # second would wait for the acknowledgement of the first.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = Connection(self.socket, self.server.clock.now())
        self.server.connections.add(self.connection)
        try:
            super().handle()
        finally:
            self.server.connections.discard(self.connection)

    def get_environ(self) -> dict:
        """Return the WSGI environment of one request."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.connection
        return environ

    def log_request(self) -> None:
        """Do nothing: the stand-ins keep no access log."""
