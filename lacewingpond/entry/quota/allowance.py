"""What a token bucket of the fleet may hold and how fast it refills."""

from msgspec import Struct

# Smaller shares run empty while others are full. The slices of `FleetLimiter`, with
# which the replays compare these shares, are as large.
MIN_TOKENS_PER_SHARE = 4.0


class Allowance(Struct, frozen=True):
    """The size and refill rate of one bucket, for all of its shares together.

    Parameters
    ----------
    name : str
        Name of the bucket, the same on all VMs.
    refill_rate : float
        Tokens per second.
    bucket_size : float
        Largest number of tokens held.
    initial_tokens : float
        Tokens that a starting fleet receives.
    allows_standby : bool
        Whether the bound holds if one more VM grants as much as a holder. Only then
        may a standby serve tokens in the place of one that does not answer.
    """

    name: str
    refill_rate: float
    bucket_size: float
    initial_tokens: float = 0.0
    allows_standby: bool = False

    def share_count(self, fleet_size: int) -> int:
        """Return the number of shares that the bucket is split into."""
        return min(shares_of(self.bucket_size), fleet_size)


def shares_of(bucket_size: float) -> int:
    """Return the number of shares of a bucket in a fleet that is large enough."""
    return max(int(bucket_size / MIN_TOKENS_PER_SHARE), 1)
