"""Readiness check of the entry daemon, for the platform's load balancer.

`lacewingpond.daemon.availability` has that of the standalone daemon.
"""

from collections.abc import Callable

from lacewingpond.http.request import Request
from lacewingpond.http.response import Response


class Readiness:
    """Responds to readiness checks: 200 if ready, else 503.

    Parameters
    ----------
    path : str
        Path of the check.
    can_serve : callable
        Returns whether the daemon can serve requests.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop has begun; the check then fails.
    """

    __slots__ = ("stopping", "_path", "_can_serve")

    def __init__(self, path: str, can_serve: Callable[[], bool]) -> None:
        self.stopping = False
        self._path = path
        self._can_serve = can_serve

    def handle(self, req: Request) -> Response:
        """Return the response to one check; 404 for any other path."""
        if req.path.partition("?")[0] != self._path:
            return Response(404)
        ready = not self.stopping and self._can_serve()
        return Response(200 if ready else 503)
