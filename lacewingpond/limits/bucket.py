"""A token bucket of the configuration and its slices."""

from msgspec import Struct

from lacewingpond.limits.options import LimitOptions
from lacewingpond.util.rendezvous import shard_of

TTL_SHARE = 0.25
"""Life of a prefetched grant as a share of the time that a full bucket lasts."""


class Bucket(Struct, frozen=True):
    """A fleet-wide limit.

    Parameters
    ----------
    bucket_id : str
        Kind and name, such as ``w:acme``.
    rate : float
        Tokens a second, over all VMs.
    burst : float
        Tokens that may be used at once, over all VMs.
    """

    bucket_id: str
    rate: float
    burst: float

    def slice_count(self, options: LimitOptions) -> int:
        """Return into how many slices the bucket is split.

        A slice that is full loses its refill while another one is empty, so a
        slice holds several tokens and a small bucket is one slice.
        """
        wanted = int(self.burst / options.tokens_per_slice)
        return min(max(wanted, 1), options.max_slices)

    def shards(self, shard_count: int, options: LimitOptions) -> tuple[int, ...]:
        """Return the shards that hold the bucket's slices."""
        count = min(self.slice_count(options), shard_count)
        return slice_shards(self.bucket_id, count, shard_count)

    def ttl_s(self, options: LimitOptions) -> float:
        """Return the life of a prefetched grant, in seconds."""
        share = TTL_SHARE * self.burst / self.rate
        return min(max(share, options.demand_ttl_s), options.max_ttl_s)


def slice_shards(bucket_id: str, count: int, shard_count: int) -> tuple[int, ...]:
    """Return `count` different shards for a bucket.

    The number of shards is fixed, so hashing the number of the slice keeps the
    other slices in place when the count changes, as rendezvous hashing would,
    without a hash for every shard.
    """
    shards: list[int] = []
    number = 0
    while len(shards) < count:
        shard = shard_of(f"{bucket_id}/{number}", shard_count)
        number += 1
        if shard not in shards:
            shards.append(shard)
    return tuple(shards)


def workspace_bucket(name: str) -> str:
    """Return the bucket id of a workspace."""
    return f"w:{name}"


def route_bucket(name: str) -> str:
    """Return the bucket id of a route."""
    return f"r:{name}"


def service_bucket(name: str) -> str:
    """Return the bucket id of a service."""
    return f"s:{name}"
