"""Allowances of the buckets for which this VM receives requests."""

import random
from collections.abc import Iterator

from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.options import LimitOptions


class AllowanceTable:
    """Creates allowances on first use and drops idle ones.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    limits : LimitTable
        Limits of all buckets.
    shard_count : int
        Number of shards.
    rng : random.Random
        Chooses the slice that each allowance asks first.
    """

    __slots__ = ("_options", "_limit_table", "_shard_count", "_rng", "_allowances")

    def __init__(
        self,
        options: LimitOptions,
        limits: LimitTable,
        shard_count: int,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._limit_table = limits
        self._shard_count = shard_count
        self._rng = rng
        self._allowances: dict[str, Allowance] = {}

    def __len__(self) -> int:
        return len(self._allowances)

    def __iter__(self) -> Iterator[Allowance]:
        return iter(list(self._allowances.values()))

    def find(self, bucket_id: str) -> Allowance | None:
        """Return the allowance of a bucket, or None when it has none yet."""
        return self._allowances.get(bucket_id)

    def find_or_create(self, bucket_id: str) -> Allowance | None:
        """Return the allowance of a bucket, or None when the bucket is unknown."""
        allowance = self._allowances.get(bucket_id)
        if allowance is not None:
            return allowance
        bucket = self._limit_table.buckets.get(bucket_id)
        if bucket is None:
            return None
        first = self._rng.randrange(self._options.max_slices)
        allowance = Allowance(bucket, self._shard_count, self._options, first)
        self._allowances[bucket_id] = allowance
        return allowance

    def apply_limits(self) -> None:
        """Apply the buckets of the newest configuration to all allowances."""
        for allowance in self:
            bucket = self._limit_table.buckets.get(allowance.bucket.bucket_id)
            if bucket is None:
                del self._allowances[allowance.bucket.bucket_id]
            elif bucket != allowance.bucket:
                allowance.configure(bucket, self._shard_count)
            allowance.wake()

    def drop_idle(self, now: float) -> None:
        """Drop allowances that hold nothing and were not used recently."""
        for allowance in self:
            if allowance.is_idle(now):
                bucket_id = allowance.bucket.bucket_id
                del self._allowances[bucket_id]
                self._limit_table.drop_cached(bucket_id)
