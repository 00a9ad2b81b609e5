"""Result of admission control for one request."""

from enum import Enum

from msgspec import Struct


class RefusalReason(Enum):
    """Why a request was not admitted."""

    OVER_RATE = "over-rate"
    """All slices of the bucket have run out of tokens."""
    UNREACHABLE = "unreachable"
    """The owner of at least one slice was unreachable; the others had no token."""
    BUSY = "busy"
    """Too many requests wait for this bucket on this VM."""
    UNKNOWN_BUCKET = "unknown-bucket"
    """The configuration on this VM has no such bucket."""


class Admission(Struct, frozen=True):
    """Result of `FleetLimiter.admit`.

    Parameters
    ----------
    admitted : bool
        True when one token of each bucket was taken.
    bucket_id : str
        The bucket without a token; empty when admitted.
    reason : RefusalReason or None
        Reason of the refusal; None when admitted.
    retry_after_s : float
        Time after which to retry, in seconds.
    """

    admitted: bool
    bucket_id: str = ""
    reason: RefusalReason | None = None
    retry_after_s: float = 0.0


ADMITTED = Admission(admitted=True)
