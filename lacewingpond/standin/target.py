"""Stand-in for a target: an HTTP server with configurable faults."""

import bottle
import gevent

from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.standin.server import StandinServer
from lacewingpond.standin.target_control import TargetControl
from lacewingpond.standin.target_faults import TargetFaults
from lacewingpond.standin.target_stats import TargetStats
from lacewingpond.standin.target_work import TargetWork
from lacewingpond.util.clock import Clock


class StandinTarget:
    """Serves requests with the faults in its options.

    The query of a request may set ``work`` (processing time in seconds), ``size``
    (bytes of the response body; by default the request body is returned) and
    ``events`` (responds with an event stream of that many events, one every ``work``
    seconds). ``/_probe``, ``/_load``, ``/_stats``, ``/_cancel/ID`` and ``/_control``
    are control paths (see `TargetControl`); all other paths are work.

    Parameters
    ----------
    options : StandinTargetOptions
        Sizes and faults; `/_control` and `configure` replace them at run time.
    clock : Clock
        Source of time for work and faults.
    """

    __slots__ = ("stats", "_clock", "_faults", "_work", "_control", "_server", "_port")

    def __init__(self, options: StandinTargetOptions, clock: Clock) -> None:
        self.stats = TargetStats()
        self._clock = clock
        self._faults = TargetFaults(options, clock)
        self._work = TargetWork(self._faults, self.stats, clock, self.crash)
        self._control = TargetControl(
            self._faults, self._work, self.stats, clock, self.configure, self.crash
        )
        self._port = options.port
        self._server = self._new_server()

    @classmethod
    def from_options(
        cls, options: StandinTargetOptions, clock: Clock
    ) -> "StandinTarget":
        """Return a target that is not yet started."""
        return cls(options, clock)

    @property
    def options(self) -> StandinTargetOptions:
        """Current options."""
        return self._faults.options

    @property
    def port(self) -> int:
        """Port of the server, once started; a restart after a crash keeps it."""
        return self._port

    @property
    def address(self) -> str:
        """Address of the server as ``host:port``, once started."""
        return f"{self.options.host}:{self._port}"

    def start(self) -> None:
        """Start to listen; connections are served by greenlets."""
        self._faults.mark_started()
        self._server.start()
        self._port = self._server.server_port

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._faults.mark_stopped()
        self._server.abort_connections()
        self._server.stop(timeout=0.2)

    def configure(self, options: StandinTargetOptions) -> None:
        """Replace the options except for the address and the slots."""
        self._faults.configure(options, self._port)

    def silence_connections(self) -> None:
        """Stop responding on all connections that are open now; new ones work."""
        self._faults.silence_connections()

    def crash(self) -> None:
        """Close all connections, stop listening and restart after `restart_s`."""
        self.stats.crashes += 1
        self._server.abort_connections()
        gevent.spawn(self._restart)

    def is_gray(self) -> bool:
        """Return whether a gray failure is on now."""
        return self._faults.is_gray()

    def slowdown_factor(self) -> float:
        """Return the current factor of the cold start on the processing time."""
        return self._faults.slowdown_factor()

    def load(self) -> float:
        """Return the load to report, as a share of the slots."""
        return self._work.load()

    def _new_server(self) -> StandinServer:
        host = self.options.host
        return StandinServer(
            host, self._port, self._build_app(), self._clock, no_delay=True
        )

    def _restart(self) -> None:
        self._server.stop(timeout=0.0)
        self._clock.sleep(self.options.restart_s)
        if self._faults.is_stopped:
            return
        self._server = self._new_server()
        self.start()

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.catchall = False
        self._control.add_routes(app)
        self._work.add_routes(app)
        return app
