"""A claim whose request did not run and whose key will become free."""

from typing import NamedTuple

from lacewingpond.idempotency.claim import Claim


class NotRunClaim(NamedTuple):
    """A claim of a request that did not run, and the time at which it is removed.

    Parameters
    ----------
    shard : int
        Shard of the key.
    claim : Claim
        The claim, with the refusal as its reply.
    free_at : float
        Monotonic time of removal, in seconds.
    """

    shard: int
    claim: Claim
    free_at: float
