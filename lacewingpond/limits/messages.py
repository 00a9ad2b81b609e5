"""Messages between entry VMs and slice owners."""

from msgspec import Struct

from lacewingpond.peers.base import Message


class GrantEnd(Struct, frozen=True, array_like=True):
    """Reports that the sender no longer holds a grant.

    Parameters
    ----------
    seq : int
        Sequence number of the request for the grant.
    unused : int
        Unused tokens, which return to the slice.
    """

    seq: int
    unused: int


class GrantAsk(Message, frozen=True):
    """Requests tokens from the owner of a slice.

    Parameters
    ----------
    shard : int
        Shard that holds the slice.
    bucket_id : str
        The bucket.
    seq : int
        Sequence number of the request; also identifies the resulting grant.
    need : int
        Tokens for waiting requests.
    prefetch : int
        Further tokens for expected requests.
    ended : tuple of GrantEnd
        Earlier grants of this slice that the sender no longer holds.
    """

    shard: int
    bucket_id: str
    seq: int
    need: int
    prefetch: int = 0
    ended: tuple[GrantEnd, ...] = ()


class GrantAnswer(Message, frozen=True):
    """Answers a `GrantAsk`.

    Parameters
    ----------
    seq : int
        Sequence number of the `GrantAsk`.
    amount : int
        Granted tokens.
    ttl_ms : int
        Time to live of the grant in milliseconds, from the sending of the `GrantAsk`.
    retry_after_ms : int
        Time in milliseconds until the slice is worth asking again; 0 unless it had
        fewer tokens than needed.
    owned : bool
        False when the answering VM does not own the shard.
    """

    seq: int
    amount: int
    ttl_ms: int = 0
    retry_after_ms: int = 0
    owned: bool = True


class GrantReturn(Message, frozen=True):
    """Returns unused tokens to a slice.

    Parameters
    ----------
    shard : int
        Shard that holds the slice.
    bucket_id : str
        The bucket.
    ended : tuple of GrantEnd
        The grants that the sender no longer holds.
    """

    shard: int
    bucket_id: str
    ended: tuple[GrantEnd, ...]
