"""State of slices that a handover transfers to the new owner."""

from msgspec import Struct


class GrantState(Struct, frozen=True, array_like=True):
    """An outstanding grant.

    Parameters
    ----------
    holder : str
        VM that holds the grant.
    seq : int
        Sequence number of the holder's request.
    amount : int
        Tokens that the holder may still use.
    remaining_s : float
        Time until the grant expires, in seconds.
    ttl_s : float
        Time to live as told to the holder, in seconds.
    """

    holder: str
    seq: int
    amount: int
    remaining_s: float
    ttl_s: float


class SliceState(Struct, frozen=True, array_like=True):
    """A slice at the time of its handover.

    Parameters
    ----------
    bucket_id : str
        The bucket.
    level : float
        Available tokens.
    grants : tuple of GrantState
        Outstanding grants.
    """

    bucket_id: str
    level: float
    grants: tuple[GrantState, ...]


class ShardSlices(Struct, frozen=True, array_like=True):
    """The slices of one shard that are not full.

    Parameters
    ----------
    refill_delay_s : float or None
        Time in seconds until slices that are not listed start to refill; negative
        when they have been refilling for that long, None when they are full.
    slices : tuple of SliceState
        The slices in use.
    """

    refill_delay_s: float | None
    slices: tuple[SliceState, ...]
