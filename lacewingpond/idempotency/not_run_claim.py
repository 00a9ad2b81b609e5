"""A claim whose request did not run and whose key is about to be free."""

from typing import NamedTuple

from lacewingpond.idempotency.claim import Claim


class RefusedClaim(NamedTuple):
    """A claim and when it is freed.

    Parameters
    ----------
    shard : int
        Shard of the key.
    claim : Claim
        The claim, which holds the refusal.
    until : float
        Monotonic time in seconds.
    """

    shard: int
    claim: Claim
    until: float
