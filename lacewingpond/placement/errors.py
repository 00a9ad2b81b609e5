"""Why no target could be chosen."""

from enum import Enum

from msgspec import Struct


class PlacementFailure(Enum):
    """Kind of failure."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_TARGET = "no-target"
    """The service has no target that takes work, or all are excluded."""


class PlacementError(Struct, frozen=True):
    """A request that no target can run; it has not been sent.

    Parameters
    ----------
    failure : PlacementFailure
        What went wrong.
    service : str
        The service that was asked for.
    """

    failure: PlacementFailure
    service: str
