"""State of slices as a hand-over carries it."""

from msgspec import Struct


class GrantState(Struct, frozen=True, array_like=True):
    """An outstanding grant and the rest of its life in seconds."""

    holder: str
    seq: int
    amount: int
    left_s: float
    ttl_s: float


class SliceState(Struct, frozen=True, array_like=True):
    """A slice at the time of its hand-over."""

    bucket_id: str
    level: float
    grants: tuple[GrantState, ...]


class ShardSlices(Struct, frozen=True, array_like=True):
    """The slices of one shard that are not full.

    Parameters
    ----------
    empty_for_s : float
        Time for which slices not named here must stay empty; negative when
        they have been refilling for that long, and None when they are full.
    slices : tuple of SliceState
        The slices in use.
    """

    empty_for_s: float | None
    slices: tuple[SliceState, ...]
