"""State of claims that a handover transfers to the new owner."""

from msgspec import Struct

from lacewingpond.idempotency.reply import Reply


class ClaimState(Struct, frozen=True, array_like=True):
    """A claim, as in `Claim`; without a reply while it runs on the former owner."""

    name: str
    fingerprint: bytes
    created_at: float
    reply: Reply | None


class ShardClaims(Struct, frozen=True, array_like=True):
    """The claims of one shard.

    Parameters
    ----------
    claims_lost_until : float
        Claims created up to this time may be lost, in seconds since the Unix epoch;
        0 when none are lost.
    claims : tuple of ClaimState
        The claims in order of creation.
    """

    claims_lost_until: float
    claims: tuple[ClaimState, ...]
