"""Finds the route of a request without looking through all routes."""

from result import Err, Ok, Result

from lacewingpond.config.model import Config
from lacewingpond.routing.match import RouteFailure, RouteMatch, RouteMiss
from lacewingpond.routing.node import PathNode
from lacewingpond.routing.path import path_segments

ANY_HOST = ""


class RouteTable:
    """A tree of path prefixes for each host.

    The routes of the exact host go before those of any host, and of these the
    longest prefix decides; only then the method.
    """

    __slots__ = ("_hosts",)

    def __init__(self) -> None:
        self._hosts: dict[str, PathNode] = {}

    @classmethod
    def from_config(cls, cfg: Config) -> "RouteTable":
        """Build the table; routes without a service or with a bad path are left out."""
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
        """Return the route of a request.

        Parameters
        ----------
        host : str
            Lower-case host without its port.
        path : str
            Raw path; its query is ignored.
        method : str
            Method of the request.
        """
        segments = path_segments(path)
        if segments.is_err():
            return Err(RouteMiss(RouteFailure.BAD_PATH, segments.err()))
        matches = self._find(host, segments.ok())
        if not matches:
            return Err(RouteMiss(RouteFailure.NO_ROUTE, "No route takes this path."))
        for match in matches:
            if not match.route.methods or method in match.route.methods:
                return Ok(match)
        return Err(
            RouteMiss(
                RouteFailure.METHOD_NOT_ALLOWED,
                "The route does not take this method.",
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
