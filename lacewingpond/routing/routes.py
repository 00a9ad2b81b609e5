"""Route table, with lookup in a path prefix tree."""

from result import Err, Ok, Result

from lacewingpond.config.model import Config
from lacewingpond.routing.match import RouteFailure, RouteMatch, RouteMiss
from lacewingpond.routing.node import PathNode
from lacewingpond.routing.path import path_segments

ANY_HOST = ""


class RouteTable:
    """A path prefix tree for each host.

    Routes of the exact host precede those for any host. Among the routes of a host
    the longest prefix is selected first, then the method.
    """

    __slots__ = ("_hosts",)

    def __init__(self) -> None:
        self._hosts: dict[str, PathNode] = {}

    @classmethod
    def from_config(cls, cfg: Config) -> "RouteTable":
        """Return the table of all routes that have a service and a valid path."""
        table = cls()
        services = {service.name: service for service in cfg.services}
        for route in cfg.routes:
            service = services.get(route.service)
            segments = path_segments(route.path_prefix)
            if service is None or segments.is_err():
                continue
            root = table._hosts.setdefault(route.host.lower(), PathNode())
            root.add(segments.ok(), RouteMatch(route, service))
        return table

    def match(self, host: str, path: str, method: str) -> Result[RouteMatch, RouteMiss]:
        """Return the route of a request, or why there is none.

        Parameters
        ----------
        host : str
            Lower-case host without its port.
        path : str
            Raw path; the query is ignored.
        method : str
            Method of the request.
        """
        segments = path_segments(path)
        if segments.is_err():
            return Err(RouteMiss(RouteFailure.BAD_PATH, segments.err()))
        matches = self._find(host, segments.ok())
        if not matches:
            return Err(RouteMiss(RouteFailure.NO_ROUTE, "No route matches this path."))
        for match in matches:
            if not match.route.methods or method in match.route.methods:
                return Ok(match)
        return Err(
            RouteMiss(
                RouteFailure.METHOD_NOT_ALLOWED,
                "The route does not allow this method.",
                tuple(sorted({m for match in matches for m in match.route.methods})),
            )
        )

    def _find(self, host: str, segments: tuple[str, ...]) -> tuple[RouteMatch, ...]:
        for name in (host, ANY_HOST):
            root = self._hosts.get(name)
            found = root.find(segments) if root is not None else ()
            if found:
                return found
        return ()
