"""Messages between the entry VMs and the owners of slices."""

from msgspec import Struct

from lacewingpond.peers.base import Message


class GrantEnd(Struct, frozen=True, array_like=True):
    """The end of a grant on the entry VM, with what it did not use."""

    seq: int
    unused: int


class GrantAsk(Message, frozen=True):
    """Asks the owner of a slice for tokens.

    Parameters
    ----------
    shard : int
        Shard that holds the slice.
    bucket_id : str
        The bucket.
    seq : int
        Number of the ask; also names the grant that answers it.
    need : int
        Tokens for requests that wait.
    ahead : int
        Further tokens that would be welcome.
    ended : tuple of GrantEnd
        Earlier grants of this slice that the asker holds no more.
    """

    shard: int
    bucket_id: str
    seq: int
    need: int
    ahead: int = 0
    ended: tuple[GrantEnd, ...] = ()


class GrantAnswer(Message, frozen=True):
    """Answers a `GrantAsk`.

    Parameters
    ----------
    seq : int
        Number of the ask.
    amount : int
        Granted tokens; 0 means none.
    ttl_ms : int
        Life of the grant, counted from when the ask was sent.
    dry_ms : int
        Time for which the slice need not be asked again; 0 unless it ran short.
    owned : bool
        False when the answering VM doesn't own the shard.
    """

    seq: int
    amount: int
    ttl_ms: int = 0
    dry_ms: int = 0
    owned: bool = True


class GrantReturn(Message, frozen=True):
    """Gives unused tokens of a slice back."""

    shard: int
    bucket_id: str
    ended: tuple[GrantEnd, ...]
