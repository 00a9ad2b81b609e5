"""Claims as a hand-over carries them."""

from msgspec import Struct

from lacewingpond.idempotency.reply import Reply


class ClaimState(Struct, frozen=True, array_like=True):
    """One claim; `reply` is None while it runs under the former owner."""

    name: str
    fingerprint: bytes
    made_at: float
    reply: Reply | None


class ShardClaims(Struct, frozen=True, array_like=True):
    """The claims of one shard.

    Parameters
    ----------
    blind_until : float
        Keys older than this may have been claimed by an owner whose claims are
        lost; seconds since the Unix epoch, 0 when none are lost.
    claims : tuple of ClaimState
        In order of their making.
    """

    blind_until: float
    claims: tuple[ClaimState, ...]
