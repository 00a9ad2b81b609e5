"""A claim on an idempotency key."""

from msgspec import Struct

from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.reply import Reply
from lacewingpond.idempotency.reply_future import Mailbox

MAX_LISTENERS = 64
"""Most repeats that wait for one run at once; others ask again."""


class Listener(Struct, frozen=True):
    """An entry VM that waits for the reply to a forwarded request."""

    vm_id: str
    forward_id: int


class Claim:
    """One key, the request that it belongs to, and what came of it.

    Parameters
    ----------
    name : str
        Workspace and key.
    fingerprint : bytes
        Digest of the request.
    made_at : float
        Seconds since the Unix epoch.
    """

    __slots__ = ("name", "fingerprint", "made_at", "reply", "listeners", "_mailboxes")

    def __init__(self, name: str, fingerprint: bytes, made_at: float) -> None:
        self.name = name
        self.fingerprint = fingerprint
        self.made_at = made_at
        self.reply: Reply | None = None
        self.listeners: tuple[Listener, ...] = ()
        self._mailboxes: tuple[Mailbox, ...] = ()

    @property
    def is_running(self) -> bool:
        """Whether the run has not ended."""
        return self.reply is None

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answer that is kept."""
        answer = self.reply.answer if self.reply else None
        return _size(answer) if answer else 0

    def subscribe(self, mailbox: Mailbox) -> None:
        """Let a local greenlet wait for the reply."""
        self._mailboxes = (*self._mailboxes, mailbox)

    def listen(self, listener: Listener) -> None:
        """Let an entry VM wait for the reply."""
        if len(self.listeners) < MAX_LISTENERS and listener not in self.listeners:
            self.listeners = (*self.listeners, listener)

    def resolve(self, reply: Reply) -> tuple[Listener, ...]:
        """Set the reply, hand it to local waiters and return the remote ones."""
        self.reply = reply
        for mailbox in self._mailboxes:
            mailbox.put(reply)
        listeners, self.listeners, self._mailboxes = self.listeners, (), ()
        return listeners


def _size(answer: Answer) -> int:
    return len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
