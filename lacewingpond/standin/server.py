"""HTTP server of the stand-ins."""

from gevent.pywsgi import WSGIServer

from lacewingpond.standin.handler import Connection, ConnectionHandler
from lacewingpond.util.clock import Clock


class StandinServer(WSGIServer):
    """Serves a WSGI application and keeps track of its open connections.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 takes a free one.
    app : callable
        WSGI application.
    clock : Clock
        Source of time for the start of each connection.
    no_delay : bool
        Whether to set TCP_NODELAY on connections.
    """

    def __init__(
        self, host: str, port: int, app: object, clock: Clock, no_delay: bool = False
    ) -> None:
        super().__init__(
            (host, port),
            app,
            handler_class=ConnectionHandler,
            log=None,
            error_log=None,
        )
        self.clock = clock
        self.no_delay = no_delay
        self.connections: set[Connection] = set()

    def abort_connections(self) -> None:
        """Close all open connections without a response."""
        for connection in tuple(self.connections):
            connection.abort()
