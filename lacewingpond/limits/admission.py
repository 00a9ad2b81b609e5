"""Result of the admission of a request."""

from enum import Enum

from msgspec import Struct


class RefusalReason(Enum):
    """Why a request was not admitted."""

    OVER_RATE = "over-rate"
    """All slices that could be asked have run out."""
    UNREACHABLE = "unreachable"
    """At least one slice could not be asked and the others had no token."""
    BUSY = "busy"
    """Too many requests wait for this bucket on this VM."""
    UNKNOWN_BUCKET = "unknown-bucket"
    """The configuration has no such bucket."""


class Admission(Struct, frozen=True):
    """Result of `FleetLimiter.admit`.

    Parameters
    ----------
    admitted : bool
        True when one token of each bucket was taken.
    bucket_id : str
        The bucket that refused.
    reason : RefusalReason or None
        Why, when refused.
    retry_after_s : float
        When to try again, in seconds from now.
    """

    admitted: bool
    bucket_id: str = ""
    reason: RefusalReason | None = None
    retry_after_s: float = 0.0


ADMITTED = Admission(admitted=True)
