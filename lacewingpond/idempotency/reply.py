"""The reply to the caller of a keyed request."""

from enum import Enum

from msgspec import Struct

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer


class ReplyKind(Enum):
    """Kind of reply to a keyed request."""

    ANSWER = "answer"
    """The target's answer, to the first request or a repeat."""
    FAILED = "failed"
    """The run ended without an answer."""
    NOT_KEPT = "answer-not-kept"
    """The request ran, but its answer is no longer kept."""
    KEY_REUSED = "key-reused"
    """The key was used for a different request."""
    BAD_KEY = "bad-key"
    TOO_LARGE = "body-too-large"
    FUTURE_KEY = "key-from-the-future"
    TOO_MANY_KEYS = "too-many-keys"
    OWNER_REPLACED = "owner-replaced"
    """The former owner's claims were lost, possibly with one for this key."""
    KEY_TOO_OLD = "key-too-old"
    """The key's timestamp is older than the retention of claims."""
    STILL_RUNNING = "still-running"
    NO_OWNER = "no-owner"
    OWNER_UNREACHABLE = "owner-unreachable"
    """This attempt was not sent to the owner, but an earlier one may have run."""
    OWNER_SILENT = "owner-silent"


STATUS = {
    ReplyKind.KEY_REUSED: 422,
    ReplyKind.BAD_KEY: 400,
    ReplyKind.TOO_LARGE: 413,
    ReplyKind.FUTURE_KEY: 400,
    ReplyKind.NOT_KEPT: 409,
    ReplyKind.KEY_TOO_OLD: 409,
}
"""HTTP status of replies without an answer; all other kinds are 503."""


class Reply(Struct, frozen=True, array_like=True):
    """The reply to one keyed request.

    Parameters
    ----------
    kind : ReplyKind
        Kind of reply.
    run : RunState
        Whether this or an earlier attempt of the request ran.
    answer : Answer or None
        The target's answer, if any.
    is_repeat : bool
        True when the reply was already known from an earlier attempt.
    """

    kind: ReplyKind
    run: RunState
    answer: Answer | None = None
    is_repeat: bool = False

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""
        if self.answer is not None:
            return self.answer.status
        return STATUS.get(self.kind, 503)
