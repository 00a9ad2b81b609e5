"""How one request to a target ended."""

from enum import IntEnum


class Outcome(IntEnum):
    """Class of one request's outcome; the value is its code in digests."""

    OK = 0
    ERROR = 1
    TIMEOUT = 2
    REFUSED_CONNECTION = 3
    SHED = 4
    SILENT_CONNECTION = 5
    CANCELLED = 6
    POISON = 7
    """A failure of a request that is suspected of crashing targets."""
    DRAINING = 8
    """A complete answer in which the target says that it takes no new work."""
