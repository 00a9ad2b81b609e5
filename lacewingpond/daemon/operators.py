"""HTTP server of the operators' API."""

from gevent.pywsgi import WSGIServer

from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.fleet import FleetComponents
from lacewingpond.operator.api import OperatorApi
from lacewingpond.operator.options import OperatorOptions
from lacewingpond.settings.model import Settings


class OperatorServer:
    """Serves the operators' API on an address of its own.

    Parameters
    ----------
    host, port : str, int
        Address to listen on.
    api : OperatorApi
        The API to serve.
    """

    __slots__ = ("_server",)

    def __init__(self, host: str, port: int, api: OperatorApi) -> None:
        self._server = WSGIServer((host, port), api.wsgi_app, log=None, error_log=None)

    @classmethod
    def from_settings(
        cls, cfg: Settings, context: DaemonContext, fleet: FleetComponents
    ) -> "OperatorServer":
        """Return the server of one daemon; it is not started.

        Raises
        ------
        UserError
            If the operators' token is empty.
        """
        options = OperatorOptions(token=context.operator_token.decode())
        api = OperatorApi.from_options(options, fleet.service, fleet.status.read)
        return cls(cfg.operators.host, cfg.operators.port, api)

    @property
    def port(self) -> int:
        """Port on which the server listens, once started."""
        return self._server.server_port

    def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0.2)
