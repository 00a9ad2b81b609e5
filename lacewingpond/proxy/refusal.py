"""Refusals of requests, before they become HTTP responses."""

from msgspec import Struct

from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState


class Refusal(Struct, frozen=True):
    """Why a request gets no response from a target.

    Parameters
    ----------
    status : int
        HTTP status.
    run : RunState
        Whether a target may have run the request.
    reason : str
        Reason code.
    detail : str
        One sentence for the caller.
    retry_after_s : float or None
        When the caller may retry, in seconds; None when a retry would not help.
    """

    status: int
    run: RunState
    reason: str
    detail: str
    retry_after_s: float | None = None

    @classmethod
    def not_run(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "Refusal":
        """Return the refusal of a request that no target has run or will run."""
        return cls(status, RunState.NOT_RUN, reason, detail, retry_after_s)

    @classmethod
    def unknown(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "Refusal":
        """Return the refusal of a request that a target may have run."""
        return cls(status, RunState.UNKNOWN, reason, detail, retry_after_s)

    def response(self) -> Response:
        """Return the HTTP response for the caller."""
        return refusal_response(
            self.status, self.run, self.reason, self.detail, self.retry_after_s
        )
