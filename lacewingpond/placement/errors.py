"""Errors of placement."""

from enum import Enum

from msgspec import Struct


class PlacementFailure(Enum):
    """Why no target could be chosen."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_TARGET = "no-target"
    """The service has no target that takes work, or the request excludes all."""


class PlacementError(Struct, frozen=True):
    """No target was chosen, so the request has not been sent.

    Parameters
    ----------
    failure : PlacementFailure
        Why there is no target.
    service : str
        Name of the requested service.
    """

    failure: PlacementFailure
    service: str
