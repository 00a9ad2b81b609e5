"""Messages between an entry VM and the owner of a key."""

from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply
from lacewingpond.peers.base import Message


class ForwardRequest(Message, frozen=True):
    """Hands a whole request to the owner of its key."""

    forward_id: int
    shard: int
    request: KeyedRequest


class ForwardPoll(Message, frozen=True):
    """Asks again for the reply to a forwarded request."""

    forward_id: int
    shard: int
    name: str
    fingerprint: bytes


class ForwardStatus(Message, frozen=True):
    """The owner's immediate answer to a forward or poll.

    Parameters
    ----------
    owned : bool
        False when the VM doesn't own the shard, so that it ran nothing.
    reply : Reply or None
        None while the request runs, or when a poll found no claim.
    """

    owned: bool
    reply: Reply | None = None


class ForwardReply(Message, frozen=True):
    """Brings the reply to an entry VM when the run has ended."""

    forward_id: int
    reply: Reply


class ClaimFinished(Message, frozen=True):
    """Tells the new owner how a run under the former owner ended."""

    shard: int
    name: str
    fingerprint: bytes
    reply: Reply
