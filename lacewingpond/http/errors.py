"""Errors in reading a request."""

from enum import Enum

from msgspec import Struct


class HeadError(Struct, frozen=True):
    """Why the head of a request was refused, and the status of the refusal.

    Parameters
    ----------
    status : int
        HTTP status; 0 for `NO_REQUEST`, which gets no response.
    reason : str
        Reason code.
    detail : str
        One sentence for the caller.
    """

    status: int
    reason: str
    detail: str


# Also stands for a caller that sent nothing for `idle_timeout_s`.
NO_REQUEST = HeadError(0, "caller-gone", "The caller closed the connection.")


class BodyFailure(Enum):
    """Why the rest of a request body can't be read."""

    DISCONNECTED = "disconnected"
    TOO_SLOW = "too-slow"
    MALFORMED = "malformed"


class RequestBodyError(Exception):
    """The caller's body ended early, arrived too slowly or is malformed.

    Parameters
    ----------
    failure : BodyFailure
        What went wrong.
    detail : str
        One sentence for the caller.
    """

    def __init__(self, failure: BodyFailure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return 408 if self.failure is BodyFailure.TOO_SLOW else 400
