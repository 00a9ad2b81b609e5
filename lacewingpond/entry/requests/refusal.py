"""Refusals and errors with which the entry daemon itself responds.

`lacewingpond.proxy.refusal` has those of the standalone daemon.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState

STOPPING_RETRY_AFTER_S = 0.0  # other VMs serve at once


class EntryRefusal(Struct, frozen=True):
    """Why the daemon itself responds to a request, instead of a target.

    Parameters
    ----------
    status : int
        HTTP status. 408, 421, 429 and 503 mean that the request has not run and will
        not run; 502 and 504 leave that open.
    reason : str
        Reason code of the cause, also for the log.
    detail : str
        Explanation for the caller, in one sentence.
    run : RunState
        Whether a target may have run it.
    retry_after_s : float or None
        Time after which the caller should retry, in seconds; None for no advice.
    evidence : dict of str to object
        What the log tells about the response of a target on which the refusal rests;
        empty if it rests on none.
    """

    status: int
    reason: str
    detail: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None
    evidence: dict[str, object] = field(default_factory=dict)

    @classmethod
    def not_run(
        cls, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> "EntryRefusal":
        """Return the refusal of a request that no target has run or will run."""
        return cls(status, reason, detail, RunState.NOT_RUN, retry_after_s)

    @classmethod
    def unknown(cls, status: int, reason: str, detail: str) -> "EntryRefusal":
        """Return the error for a request that a target may have run."""
        return cls(status, reason, detail, RunState.UNKNOWN)

    @classmethod
    def stopping(cls) -> "EntryRefusal":
        """Return the refusal of a request that comes too late in a planned stop."""
        detail = "This VM is being stopped."
        return cls.not_run(503, "stopping", detail, STOPPING_RETRY_AFTER_S)

    def with_evidence(self, **evidence: object) -> "EntryRefusal":
        """Return this refusal as one that rests on the response of a target."""
        return replace(self, evidence=evidence)

    def response(self) -> Response:
        """Return the HTTP response for the caller."""
        response = refusal_response(self.status, self.run, self.reason, self.detail)
        if self.retry_after_s is not None:
            # Callers of the platform accept fractions of a second.
            response.headers.set("Retry-After", f"{self.retry_after_s:.2f}")
        return response
