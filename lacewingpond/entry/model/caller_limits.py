"""What clients may send, and how long they may take."""

from msgspec import Struct


class CallerLimits(Struct, frozen=True):
    """Limits towards clients, as operators state them."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
