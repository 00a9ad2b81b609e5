"""What operators ask for; each intent is one typed message."""

import re
from typing import Literal

from msgspec import Struct

from lacewingpond.config.model import Key, Route, Service, Target, Workspace


def _tag(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()


class BaseIntent(Struct, frozen=True, tag=_tag, forbid_unknown_fields=True):
    """Base of all intents; in JSON the member ``type`` names the class."""


class PutWorkspace(BaseIntent, frozen=True):
    """Create or replace a workspace."""

    workspace: Workspace


class RemoveWorkspace(BaseIntent, frozen=True):
    """Remove a workspace, which must have no keys and no routes of its own."""

    name: str


class PutService(BaseIntent, frozen=True):
    """Create or replace a service with its targets."""

    service: Service


class RemoveService(BaseIntent, frozen=True):
    """Remove a service that no route uses."""

    name: str


class PutRoute(BaseIntent, frozen=True):
    """Create or replace a route."""

    route: Route


class RemoveRoute(BaseIntent, frozen=True):
    """Remove a route."""

    name: str


class AddTarget(BaseIntent, frozen=True):
    """Add a target to a service."""

    service: str
    target: Target


class RemoveTarget(BaseIntent, frozen=True):
    """Remove a target from a service."""

    service: str
    target_id: str


class DrainTarget(BaseIntent, frozen=True):
    """Let a target take no new work, or take it again."""

    service: str
    target_id: str
    draining: bool = True


class GrantKey(BaseIntent, frozen=True):
    """Let a key speak for a workspace; only its digest is sent."""

    key: Key


class WithdrawKey(BaseIntent, frozen=True):
    """Let a key stop working."""

    key_id: str


class SetRate(BaseIntent, frozen=True):
    """Set the fleet-wide limit of a workspace, service or route.

    Parameters
    ----------
    of : str
        ``workspace``, ``service`` or ``route``.
    name : str
        Which one.
    rate, burst : float
        Requests a second, and requests at once.
    """

    of: Literal["workspace", "service", "route"]
    name: str
    rate: float
    burst: float


Intent = (
    PutWorkspace
    | RemoveWorkspace
    | PutService
    | RemoveService
    | PutRoute
    | RemoveRoute
    | AddTarget
    | RemoveTarget
    | DrainTarget
    | GrantKey
    | WithdrawKey
    | SetRate
)
