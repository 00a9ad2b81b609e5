"""What the caller of a keyed request gets."""

from enum import Enum

from msgspec import Struct

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer


class ReplyKind(Enum):
    """Why a keyed request got its reply."""

    ANSWER = "answer"
    """The target's answer, of the first run or of a repeat."""
    FAILED = "failed"
    """The run ended without an answer."""
    NOT_KEPT = "answer-not-kept"
    """The request ran, but its answer is no longer there."""
    MISMATCH = "key-reused"
    """The key belongs to another request."""
    BAD_KEY = "bad-key"
    TOO_LARGE = "body-too-large"
    FUTURE_KEY = "key-from-the-future"
    FULL = "too-many-keys"
    TAKEN_OVER = "owner-replaced"
    """The claims of the former owner were lost and the key may be among them."""
    KEY_TOO_OLD = "key-too-old"
    """The key is older than claims are kept."""
    STILL_RUNNING = "still-running"
    NO_OWNER = "no-owner"
    NOT_SENT = "owner-unreachable"
    """This attempt never left the VM; an earlier one may have run."""
    NO_REPLY = "owner-silent"


STATUS = {
    ReplyKind.MISMATCH: 422,
    ReplyKind.BAD_KEY: 400,
    ReplyKind.TOO_LARGE: 413,
    ReplyKind.FUTURE_KEY: 400,
    ReplyKind.NOT_KEPT: 409,
    ReplyKind.KEY_TOO_OLD: 409,
}
"""HTTP status of refusals; all others are 503."""


class Reply(Struct, frozen=True, array_like=True):
    """The reply to one keyed request.

    Parameters
    ----------
    kind : ReplyKind
        Why.
    run : RunState
        Whether the request ran, by this or an earlier attempt.
    answer : Answer or None
        The answer to pass on, if there is one.
    is_repeat : bool
        True when an earlier attempt brought the answer.
    """

    kind: ReplyKind
    run: RunState
    answer: Answer | None = None
    is_repeat: bool = False

    @property
    def status(self) -> int:
        """HTTP status to send."""
        if self.answer is not None:
            return self.answer.status
        return STATUS.get(self.kind, 503)
