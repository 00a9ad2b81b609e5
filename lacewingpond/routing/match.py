"""Results of a route lookup."""

from enum import Enum

from msgspec import Struct

from lacewingpond.config.model import Route, Service


class RouteMatch(Struct, frozen=True):
    """The route of a request and its service."""

    route: Route
    service: Service

    def allows(self, workspace: str) -> bool:
        """Return whether a workspace may use the route.

        An empty `workspace` stands for a request without a key.
        """
        if self.route.open:
            return True
        if not workspace:
            return False
        return not self.route.workspaces or workspace in self.route.workspaces


class RouteFailure(Enum):
    """Why a request has no route."""

    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    BAD_PATH = "bad-path"


class RouteMiss(Struct, frozen=True):
    """Why no route matches a request.

    Parameters
    ----------
    failure : RouteFailure
        The reason.
    detail : str
        One sentence for the caller.
    allowed : tuple of str
        Methods for the ``Allow`` header; set with `METHOD_NOT_ALLOWED` only.
    """

    failure: RouteFailure
    detail: str
    allowed: tuple[str, ...] = ()
