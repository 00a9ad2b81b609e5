"""Errors of requests to targets, and whether the target may have run them."""

from enum import Enum

from msgspec import Struct


class SendFailure(Enum):
    """Whether a request without a response may have run."""

    NOT_SENT = "not-sent"
    """No byte of the request was sent."""
    UNKNOWN = "unknown"
    """The target may have run it."""


class SendReason(Enum):
    """What ended an HTTP exchange with a target."""

    CONNECT = "connect"
    """No connection could be opened."""
    CONNECTION_LIMIT = "budget"
    """All connections that this VM may open to the target are in use."""
    DEADLINE = "deadline"
    """The deadline passed."""
    SILENT_CONNECTION = "silent-connection"
    """The connection gets no bytes, while newer ones to the target get responses."""
    SUPERSEDED = "superseded"
    """`on_overdue` of the request ended it: another attempt got a response."""
    MAY_NOT_SEND = "ownership-lost"
    """`may_send` of the request returned False: this VM may no longer send it."""
    CALLER_DISCONNECTED = "caller-gone"
    CALLER_BODY = "caller-body"
    """The caller's body was cut off, malformed or too slow."""
    CALLER_HEADERS = "caller-head"
    """The caller's request line or headers can't be sent."""
    BROKEN = "broken"
    """The connection was closed or reset before the response was complete."""
    PROTOCOL = "protocol"
    """The response violates HTTP."""


class SendError(Struct, frozen=True):
    """A request that got no response.

    Parameters
    ----------
    failure : SendFailure
        Whether the target may have run it.
    reason : SendReason
        What happened. Only `CONNECT`, `DEADLINE`, `BROKEN` and `PROTOCOL` say
        anything about the target's health.
    detail : str
        Text for the log.
    reused : bool
        True when the connection had carried an earlier request.
    """

    failure: SendFailure
    reason: SendReason
    detail: str = ""
    reused: bool = False


class ExchangeError(Exception):
    """Ends an exchange; raised through urllib3 and `http.client`.

    Parameters
    ----------
    reason : SendReason
        What happened.
    detail : str
        Text for the log.
    """

    def __init__(self, reason: SendReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


class TruncatedResponseError(ExchangeError):
    """A response ended before its body was complete."""
