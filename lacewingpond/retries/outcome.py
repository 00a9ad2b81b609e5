"""Outcomes of attempts, as far as retries depend on them."""

from enum import Enum


class SendOutcome(Enum):
    """How one attempt to send a request ended."""

    NOT_SENT = "not-sent"
    """No byte was sent, for example because the connection was refused."""
    PROVED_NOT_RUN = "proved-not-run"
    """A complete response had the service's marker for requests that did not run."""
    NO_RESPONSE = "no-answer"
    """Bytes were sent and there was no complete response."""
    SERVER_ERROR = "server-error"
    """A complete response had status 502, 503 or 504 and no marker."""
    ANSWERED = "answered"
    """Any other complete response."""
    PARTLY_FORWARDED = "partly-passed-on"
    """Part of a response was already forwarded to the caller."""
