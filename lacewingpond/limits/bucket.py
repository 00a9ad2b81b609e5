"""A configured token bucket and its partition into slices."""

from msgspec import Struct

from lacewingpond.limits.options import LimitOptions
from lacewingpond.util.rendezvous import shard_of

PREFETCH_TTL_RATIO = 0.25
"""Time to live of a prefetched grant, relative to the refill time of the bucket."""


class Bucket(Struct, frozen=True):
    """A fleet-wide limit.

    Parameters
    ----------
    bucket_id : str
        Kind and name, such as ``w:acme``.
    rate : float
        Tokens per second, over all VMs.
    burst : float
        Maximum number of tokens, over all VMs.
    """

    bucket_id: str
    rate: float
    burst: float

    def slice_count(self, options: LimitOptions) -> int:
        """Return the number of slices of the bucket.

        A full slice loses its refill even while another slice is empty. To limit
        this loss a slice holds several tokens, and a small bucket is one slice.
        """
        wanted = int(self.burst / options.tokens_per_slice)
        return min(max(wanted, 1), options.max_slices)

    def shards(self, shard_count: int, options: LimitOptions) -> tuple[int, ...]:
        """Return the shards that hold the bucket's slices."""
        count = min(self.slice_count(options), shard_count)
        return slice_shards(self.bucket_id, count, shard_count)

    def prefetch_ttl_s(self, options: LimitOptions) -> float:
        """Return the time to live of a prefetched grant, in seconds."""
        share = PREFETCH_TTL_RATIO * self.burst / self.rate
        return min(max(share, options.demand_ttl_s), options.max_ttl_s)


def slice_shards(bucket_id: str, count: int, shard_count: int) -> tuple[int, ...]:
    """Return `count` distinct shards for a bucket.

    The shards follow from hashes of bucket and slice number, so the other slices
    stay in place when `count` changes. This works as `shard_count` is fixed and
    avoids the hash per shard of rendezvous hashing.
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
