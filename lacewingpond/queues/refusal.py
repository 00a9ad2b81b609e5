"""Refusal of a request that got no slot and was not sent."""

from enum import Enum

from msgspec import Struct


class QueueReason(Enum):
    """Kind of refusal."""

    FULL = "queue-full"
    TOO_LATE = "deadline-out-of-reach"
    """The request could not have finished by its deadline."""
    EXPIRED = "deadline-passed"
    UNKNOWN_SERVICE = "unknown-service"


class QueueRefusal(Struct, frozen=True):
    """A refusal and when to try again.

    Parameters
    ----------
    reason : QueueReason
        Why.
    retry_after_s : float
        Expected time until the queue is short enough, in seconds.
    """

    reason: QueueReason
    retry_after_s: float
