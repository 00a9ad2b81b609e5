"""Options of the request path."""

from msgspec import Struct


class ProxyOptions(Struct, frozen=True):
    """Limits of one request.

    Parameters
    ----------
    balancer_check_path : str
        Path of the load balancer's readiness check of this VM.
    max_attempts : int
        Most targets that one request is sent to, the first included.
    replay_bytes : int
        Longest body, in bytes, that is buffered so that a request can be retried.
    keyed_body_bytes : int
        Longest body, in bytes, of a request with an ``Idempotency-Key``.
    max_deadline_s : float
        Longest deadline that a caller may set, in seconds; longer ones are shortened.
    unavailable_retry_s : float
        ``Retry-After`` of refusals for which no better time is known, in seconds.
    """

    balancer_check_path: str = "/-/lacewingpond/ready"
    max_attempts: int = 3
    replay_bytes: int = 65_536
    keyed_body_bytes: int = 262_144
    max_deadline_s: float = 3_600.0
    unavailable_retry_s: float = 1.0
