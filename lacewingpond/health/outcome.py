"""Outcomes of requests to targets."""

from enum import IntEnum


class Outcome(IntEnum):
    """How one request to a target ended; the value is its code in digests."""

    OK = 0
    ERROR = 1
    TIMEOUT = 2
    REFUSED_CONNECTION = 3
    SHED = 4
    SILENT_CONNECTION = 5
    CANCELLED = 6
    POISON = 7
    """A failed request that is suspected of crashing targets."""
    DRAINING = 8
    """A complete response in which the target says that it takes no new requests."""
