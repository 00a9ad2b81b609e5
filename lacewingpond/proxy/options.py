"""Options of the way of a request."""

from msgspec import Struct


class ProxyOptions(Struct, frozen=True):
    """Bounds of one request.

    Parameters
    ----------
    balancer_check_path : str
        Path that the platform's balancer asks whether this VM takes requests.
    max_attempts : int
        Targets that one request may be sent to, the first included.
    replay_bytes : int
        Longest body that is kept so that a request can be sent again.
    keyed_body_bytes : int
        Longest body of a request with an ``Idempotency-Key``.
    max_deadline_s : float
        Longest deadline that a caller may name, in seconds.
    unavailable_retry_s : float
        When callers are told to come back where nothing better is known, in
        seconds.
    """

    balancer_check_path: str = "/-/lacewingpond/ready"
    max_attempts: int = 3
    replay_bytes: int = 65_536
    keyed_body_bytes: int = 262_144
    max_deadline_s: float = 3_600.0
    unavailable_retry_s: float = 1.0
