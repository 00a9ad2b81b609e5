"""Outcomes of single attempts to deliver a request."""

from enum import Enum

from msgspec import Struct
from result import Result

from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.http.response import Response
from lacewingpond.targets.errors import SendReason

# While targets refuse requests although slots are free, other targets may accept them.
IDLE_RETRY_AFTER_S = 0.15
FIRST_SERVER_ERROR = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers know that their request has not run and never will."""
FINAL_REASONS = frozenset(
    {
        SendReason.CALLER_DISCONNECTED,
        SendReason.CALLER_BODY,
        SendReason.CALLER_HEADERS,
        SendReason.MAY_NOT_SEND,
    }
)
"""Reasons for which another target would fail as well."""


class FailureKind(Enum):
    """What a failed attempt shows about whether the target ran the request."""

    NOT_SENT = "unreached"
    """No byte of the request was sent."""
    NOT_RUN = "not-run"
    """The target responded that it did not run the request."""
    UNKNOWN = "unknown"
    """The target may have run it."""


class AttemptFailure(Struct, frozen=True):
    """An attempt without a response that is forwarded to the caller.

    Parameters
    ----------
    kind : FailureKind
        What the failure shows about whether the target ran the request.
    refusal : EntryRefusal
        Response to the caller if there is no further attempt.
    final : bool
        Whether another target would fail as well.
    """

    kind: FailureKind
    refusal: EntryRefusal
    final: bool = False


Outcome = Result[Response, AttemptFailure]


def not_sent_refusal(reason: SendReason, retry_after_s: float) -> EntryRefusal:
    """Return the refusal of a request of which no byte was sent.

    Parameters
    ----------
    reason : SendReason
        Why it was not sent.
    retry_after_s : float
        Time after which the caller should retry, in seconds.
    """
    if reason in (SendReason.CALLER_BODY, SendReason.CALLER_HEADERS):
        return EntryRefusal.not_run(
            400, reason.value, "The request can't be forwarded."
        )
    if reason is SendReason.MAY_NOT_SEND:
        detail = "The route or the key changed before the request was sent."
        return EntryRefusal.not_run(503, "route-changed", detail, IDLE_RETRY_AFTER_S)
    detail = "The request did not reach a target."
    return EntryRefusal.not_run(503, f"unreached-{reason.value}", detail, retry_after_s)


def no_response_refusal(reason: SendReason) -> EntryRefusal:
    """Return the error for a request that was sent and got no response."""
    if reason is SendReason.CALLER_BODY:
        return EntryRefusal.unknown(
            400, reason.value, "The request's body ended early."
        )
    status = (
        504 if reason in (SendReason.DEADLINE, SendReason.SILENT_CONNECTION) else 502
    )
    detail = "The request reached a target, which did not respond."
    return EntryRefusal.unknown(status, f"unanswered-{reason.value}", detail)


def unproven_refusal(status: int) -> EntryRefusal:
    """Return the error in place of a target's response with one of `NOT_RUN_STATUSES`.

    The target has not proved what its `status` would tell the caller.
    """
    detail = f"A target responded with {status}, and may have run the request."
    return EntryRefusal.unknown(502, "unproven-status", detail)


def ends_request(outcome: Outcome) -> bool:
    """Return whether no other attempt can give the caller a better response."""
    if outcome.is_err():
        return outcome.err_value.final
    response = outcome.ok_value
    return response.status < FIRST_SERVER_ERROR or not isinstance(response.body, bytes)
