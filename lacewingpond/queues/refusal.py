"""Refusal of a request that got no slot and so was not sent."""

from enum import Enum

from msgspec import Struct


class QueueReason(Enum):
    """Reason of a refusal."""

    QUEUE_FULL = "queue-full"
    DEADLINE_OUT_OF_REACH = "deadline-out-of-reach"
    """The request is not expected to finish by its deadline."""
    DEADLINE_PASSED = "deadline-passed"
    UNKNOWN_SERVICE = "unknown-service"
    CALLER_GONE = "caller-gone"


class QueueRefusal(Struct, frozen=True):
    """A refusal with its reason and a retry time.

    Parameters
    ----------
    reason : QueueReason
        Reason of the refusal.
    retry_after_s : float
        Expected time until all requests that are now queued or in flight have
        finished, in seconds.
    """

    reason: QueueReason
    retry_after_s: float
