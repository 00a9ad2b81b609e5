"""Messages between entry VMs and the owners of keys."""

from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply
from lacewingpond.peers.base import Message


class ForwardRequest(Message, frozen=True):
    """Forwards a complete request to the owner of its key.

    Parameters
    ----------
    forward_id : int
        Identifies the request on the sender, for the `ForwardReply`.
    shard : int
        Shard of the key.
    request : KeyedRequest
        The request.
    """

    forward_id: int
    shard: int
    request: KeyedRequest


class ForwardPoll(Message, frozen=True):
    """Polls for the reply to a forwarded request.

    Parameters
    ----------
    forward_id : int
        As in the `ForwardRequest`.
    shard : int
        Shard of the key.
    name : str
        `KeyedRequest.name` of the request.
    fingerprint : bytes
        `KeyedRequest.fingerprint` of the request.
    """

    forward_id: int
    shard: int
    name: str
    fingerprint: bytes


class ForwardStatus(Message, frozen=True):
    """Immediate answer to `ForwardRequest`, `ForwardPoll` or `ClaimFinished`.

    Parameters
    ----------
    owned : bool
        False when the VM does not own the shard and so did nothing.
    reply : Reply or None
        None while the request runs, when a poll found no claim, and for
        `ClaimFinished`.
    """

    owned: bool
    reply: Reply | None = None


class ForwardReply(Message, frozen=True):
    """Sends the reply to an entry VM when the run has ended.

    Parameters
    ----------
    forward_id : int
        As in the `ForwardRequest`.
    reply : Reply
        The reply.
    """

    forward_id: int
    reply: Reply


class ClaimFinished(Message, frozen=True):
    """Reports the end of a run on the former owner to the new owner.

    Parameters
    ----------
    shard : int
        Shard of the key.
    name, fingerprint : str, bytes
        Those of the claim.
    reply : Reply
        Result of the run.
    """

    shard: int
    name: str
    fingerprint: bytes
    reply: Reply
