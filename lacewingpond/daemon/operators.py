"""The operators' API on its own address."""

from gevent.pywsgi import WSGIServer

from lacewingpond.daemon.fleet import FleetParts
from lacewingpond.daemon.surroundings import Surroundings
from lacewingpond.operator.api import OperatorApi
from lacewingpond.operator.options import OperatorOptions
from lacewingpond.settings.model import Settings


class OperatorServer:
    """Serves operators by HTTP.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    api : OperatorApi
        What to serve.
    """

    __slots__ = ("_server",)

    def __init__(self, host: str, port: int, api: OperatorApi) -> None:
        self._server = WSGIServer((host, port), api.wsgi_app, log=None, error_log=None)

    @classmethod
    def from_settings(
        cls, cfg: Settings, around: Surroundings, fleet: FleetParts
    ) -> "OperatorServer":
        """Build the server of one daemon."""
        options = OperatorOptions(token=around.operator_token.decode())
        api = OperatorApi.from_options(options, fleet.service, fleet.status.read)
        return cls(cfg.operators.host, cfg.operators.port, api)

    @property
    def port(self) -> int:
        """Port that it listens on, once started."""
        return self._server.server_port

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0.2)
