"""Refusals and failures of the daemon itself."""

from msgspec import Struct

from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState


class Refusal(Struct, frozen=True):
    """Why a request gets no answer of a target.

    Parameters
    ----------
    status : int
        HTTP status. 408, 421, 429 and 503 say that the request has not run and
        never will; 502 and 504 say nothing about that.
    reason : str
        Short name of the cause, also for the log.
    detail : str
        One sentence for the client.
    run : RunState
        Whether a target may have run it.
    retry_after_s : float or None
        When the client should come back, in seconds.
    """

    status: int
    reason: str
    detail: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None

    @classmethod
    def not_run(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "Refusal":
        """Refuse a request that no target has run or will run."""
        return cls(status, reason, detail, RunState.NOT_RUN, retry_after_s)

    @classmethod
    def unknown(cls, status: int, reason: str, detail: str) -> "Refusal":
        """Fail a request that a target may have run."""
        return cls(status, reason, detail, RunState.UNKNOWN)

    def response(self) -> Response:
        """Return the answer for the client."""
        answer = refusal_response(self.status, self.run, self.reason, self.detail)
        if self.retry_after_s is not None:
            # The platform's clients read fractions of seconds.
            answer.headers.set("Retry-After", f"{self.retry_after_s:.2f}")
        return answer
