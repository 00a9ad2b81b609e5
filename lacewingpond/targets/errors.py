"""Why a target gave no answer, and whether it may have run the request."""

from enum import Enum

from msgspec import Struct


class SendFailure(Enum):
    """What is known of a request without an answer."""

    NOT_SENT = "not-sent"
    """No byte of it has left this VM."""
    UNKNOWN = "unknown"
    """The target may have run it."""


class SendReason(Enum):
    """What ended an exchange with a target."""

    CONNECT = "connect"
    """No connection could be opened."""
    BUDGET = "budget"
    """All connections that this VM may hold to the target are in use."""
    DEADLINE = "deadline"
    """The deadline passed."""
    SILENT_CONNECTION = "silent-connection"
    """The connection has gone silent, while newer ones to the target answer."""
    OWNERSHIP_LOST = "ownership-lost"
    """This VM may no longer send the request."""
    CALLER_GONE = "caller-gone"
    CALLER_BODY = "caller-body"
    """The caller's body was cut, malformed or too slow."""
    CALLER_HEAD = "caller-head"
    """The head of the caller's request can't be sent."""
    BROKEN = "broken"
    """The connection was closed or reset before a whole answer had come."""
    PROTOCOL = "protocol"
    """The answer breaks the rules of HTTP."""


class SendError(Struct, frozen=True):
    """A request without an answer.

    Parameters
    ----------
    failure : SendFailure
        Whether the target may have run it.
    reason : SendReason
        What happened. Only `CONNECT`, `DEADLINE`, `BROKEN` and `PROTOCOL` say
        anything about the target's health.
    detail : str
        For the log.
    reused : bool
        True when the connection had carried an earlier request.
    """

    failure: SendFailure
    reason: SendReason
    detail: str = ""
    reused: bool = False


class ExchangeError(Exception):
    """Ends an exchange from within the libraries that read or send.

    Parameters
    ----------
    reason : SendReason
        What happened.
    detail : str
        For the log.
    """

    def __init__(self, reason: SendReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


class AnswerCutError(ExchangeError):
    """An answer that had begun to come was cut short."""
