"""Tells the platform's balancer whether this VM takes clients."""

from collections.abc import Callable

from lacewingpond.http.request import Request
from lacewingpond.http.response import Response


class Readiness:
    """Answers the balancer's checks.

    Parameters
    ----------
    path : str
        Path of the check.
    is_able : callable
        Whether the daemon can serve.

    Attributes
    ----------
    stopping : bool
        Set at the start of a planned stop.
    """

    __slots__ = ("stopping", "_path", "_is_able")

    def __init__(self, path: str, is_able: Callable[[], bool]) -> None:
        self.stopping = False
        self._path = path
        self._is_able = is_able

    def handle(self, req: Request) -> Response:
        """Answer one check."""
        if req.path.partition("?")[0] != self._path:
            return Response(404)
        ready = not self.stopping and self._is_able()
        return Response(200 if ready else 503)
