"""A refusal, before it takes the form of an answer."""

from msgspec import Struct

from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState


class Refused(Struct, frozen=True):
    """Why a request gets no answer from a target.

    Parameters
    ----------
    status : int
        HTTP status.
    run : RunState
        Whether a target may have run it.
    reason : str
        Short name for scripts.
    detail : str
        One sentence for the caller.
    retry_after_s : float or None
        When to come back, in seconds.
    """

    status: int
    run: RunState
    reason: str
    detail: str
    retry_after_s: float | None = None

    @classmethod
    def not_run(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "Refused":
        """Refuse a request that no target has run or will run."""
        return cls(status, RunState.NOT_RUN, reason, detail, retry_after_s)

    @classmethod
    def unknown(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "Refused":
        """Refuse a request that a target may have run."""
        return cls(status, RunState.UNKNOWN, reason, detail, retry_after_s)

    def response(self) -> Response:
        """Return the answer for the caller."""
        return refusal_response(
            self.status, self.run, self.reason, self.detail, self.retry_after_s
        )
