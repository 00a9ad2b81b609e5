"""A claim on an idempotency key."""

from msgspec import Struct

from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.reply import Reply
from lacewingpond.idempotency.reply_future import ReplyFuture

MAX_LISTENERS = 64
"""Maximum number of listeners of one run; other entry VMs poll for the reply."""


class Listener(Struct, frozen=True):
    """An entry VM that waits for the reply to a forwarded request."""

    vm_id: str
    forward_id: int


class Claim:
    """Record of a key, its request and the reply.

    Parameters
    ----------
    name : str
        Workspace and key, as in `KeyedRequest.name`.
    fingerprint : bytes
        Digest of the request.
    created_at : float
        Time of creation, in seconds since the Unix epoch.
    """

    __slots__ = ("name", "fingerprint", "created_at", "reply", "listeners", "_futures")

    def __init__(self, name: str, fingerprint: bytes, created_at: float) -> None:
        self.name = name
        self.fingerprint = fingerprint
        self.created_at = created_at
        self.reply: Reply | None = None
        self.listeners: tuple[Listener, ...] = ()
        self._futures: tuple[ReplyFuture, ...] = ()

    @property
    def is_running(self) -> bool:
        """Whether the request has no reply yet."""
        return self.reply is None

    @property
    def kept_bytes(self) -> int:
        """Size of the kept answer, in bytes."""
        answer = self.reply.answer if self.reply else None
        return _size(answer) if answer else 0

    def subscribe(self, future: ReplyFuture) -> None:
        """Pass the reply to `future` when there is one."""
        self._futures = (*self._futures, future)

    def listen(self, listener: Listener) -> None:
        """Add an entry VM that gets the reply, unless there are too many."""
        if len(self.listeners) < MAX_LISTENERS and listener not in self.listeners:
            self.listeners = (*self.listeners, listener)

    def resolve(self, reply: Reply) -> tuple[Listener, ...]:
        """Set the reply and pass it to local waiters.

        Returns
        -------
        tuple of Listener
            Entry VMs to which the reply must be sent.
        """
        self.reply = reply
        for future in self._futures:
            future.set_result(reply)
        listeners, self.listeners, self._futures = self.listeners, (), ()
        return listeners


def _size(answer: Answer) -> int:
    return len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
