"""Intents: the changes that an operator can request, one class for each."""

import re
from typing import Literal

from msgspec import Struct

from lacewingpond.config.model import Key, Route, Service, Target, Workspace


def _tag(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()


class BaseIntent(Struct, frozen=True, tag=_tag, forbid_unknown_fields=True):
    """Base of all intents; the JSON member ``type`` names the class."""


class PutWorkspace(BaseIntent, frozen=True):
    """Create or replace a workspace."""

    workspace: Workspace


class RemoveWorkspace(BaseIntent, frozen=True):
    """Remove a workspace that no key and no route refers to."""

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
    """Stop new requests to a target, or allow them again."""

    service: str
    target_id: str
    draining: bool = True


class GrantKey(BaseIntent, frozen=True):
    """Add a key for a workspace; only its digest is sent."""

    key: Key


class WithdrawKey(BaseIntent, frozen=True):
    """Remove a key, so that requests with it are refused."""

    key_id: str


class SetRate(BaseIntent, frozen=True):
    """Set the fleet-wide limit of a workspace, service or route.

    Parameters
    ----------
    of : str
        Kind of the item: ``workspace``, ``service`` or ``route``.
    name : str
        Name of the item.
    rate, burst : float
        Requests per second, and requests at once.
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
