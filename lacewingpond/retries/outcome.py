"""How sending a request to a target ended."""

from enum import Enum


class SendOutcome(Enum):
    """What is known after one attempt."""

    NOT_SENT = "not-sent"
    """Failed provably before the first byte left, such as a refused connection."""
    PROVED_NOT_RUN = "proved-not-run"
    """A complete answer carried the service's marker."""
    NO_ANSWER = "no-answer"
    """Bytes left and no complete answer came."""
    SERVER_ERROR = "server-error"
    """A complete answer with status 502, 503 or 504 and without the marker."""
    ANSWERED = "answered"
    """Any other complete answer."""
    PARTLY_PASSED_ON = "partly-passed-on"
    """The caller already has the beginning of an answer."""
