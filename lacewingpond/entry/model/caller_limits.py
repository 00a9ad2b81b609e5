"""Size and time limits on callers' requests."""

from msgspec import Struct


class CallerLimits(Struct, frozen=True):
    """Limits on callers' connections and requests, as configured.

    Parameters
    ----------
    head_bytes : int
        Longest request head in bytes.
    body_bytes : int
        Longest request body in bytes.
    head_timeout_s : float
        Time in which the whole head must arrive, in seconds.
    idle_timeout_s : float
        Time for which a connection may stay idle between requests, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
