"""Errors of reading a request."""

from enum import Enum

from msgspec import Struct


class HeadError(Struct, frozen=True):
    """A head that can't be served, and the status that says so.

    Parameters
    ----------
    status : int
        HTTP status; 0 when the caller went before it sent a head.
    reason : str
        Short name of the fault.
    detail : str
        One sentence for the caller.
    """

    status: int
    reason: str
    detail: str


CALLER_GONE = HeadError(0, "caller-gone", "The caller closed the connection.")


class BodyFailure(Enum):
    """Why the rest of a body can't be read."""

    DISCONNECTED = "disconnected"
    TOO_SLOW = "too-slow"
    MALFORMED = "malformed"


class RequestBodyError(Exception):
    """The caller's body ended early, came too slowly or is malformed.

    Parameters
    ----------
    failure : BodyFailure
        What went wrong.
    detail : str
        One sentence about it.
    """

    def __init__(self, failure: BodyFailure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail

    @property
    def status(self) -> int:
        """The HTTP status that tells the caller."""
        return 408 if self.failure is BodyFailure.TOO_SLOW else 400
