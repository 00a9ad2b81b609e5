"""The allowances of the buckets that this VM takes requests for."""

import random
from collections.abc import Iterator

from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.options import LimitOptions


class AllowanceTable:
    """Creates allowances on first use and forgets idle ones.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    limits : LimitTable
        Limits of all buckets.
    shard_count : int
        Number of shards.
    rng : random.Random
        Spreads the first asks over slices.
    """

    __slots__ = ("_options", "_limits", "_shard_count", "_rng", "_allowances")

    def __init__(
        self,
        options: LimitOptions,
        limits: LimitTable,
        shard_count: int,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._limits = limits
        self._shard_count = shard_count
        self._rng = rng
        self._allowances: dict[str, Allowance] = {}

    def __len__(self) -> int:
        return len(self._allowances)

    def __iter__(self) -> Iterator[Allowance]:
        return iter(list(self._allowances.values()))

    def find(self, bucket_id: str) -> Allowance | None:
        """Return the allowance of a bucket in use."""
        return self._allowances.get(bucket_id)

    def find_or_create(self, bucket_id: str) -> Allowance | None:
        """Return the allowance of a bucket; None when there is no such bucket."""
        allowance = self._allowances.get(bucket_id)
        if allowance is not None:
            return allowance
        bucket = self._limits.buckets.get(bucket_id)
        if bucket is None:
            return None
        first = self._rng.randrange(self._options.max_slices)
        allowance = Allowance(bucket, self._shard_count, self._options, first)
        self._allowances[bucket_id] = allowance
        return allowance

    def apply_limits(self) -> None:
        """Bring all allowances to the buckets of the newest configuration."""
        for allowance in self:
            bucket = self._limits.buckets.get(allowance.bucket.bucket_id)
            if bucket is None:
                del self._allowances[allowance.bucket.bucket_id]
            elif bucket != allowance.bucket:
                allowance.configure(bucket, self._shard_count)
            allowance.wake()

    def drop_idle(self, now: float) -> None:
        """Forget allowances that hold nothing and were not used lately."""
        for allowance in self:
            if allowance.is_idle(now):
                bucket_id = allowance.bucket.bucket_id
                del self._allowances[bucket_id]
                self._limits.drop_cached(bucket_id)
