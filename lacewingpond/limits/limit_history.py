"""Limits of a bucket while a configuration change propagates."""

from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice import SliceLimit

ZERO_LIMIT = SliceLimit(0.0, 0.0)
"""Limit of a slice on a shard that holds no slice of the bucket."""


class LimitHistory:
    """The versions of one bucket that some VM may still apply.

    A lower limit applies at once, a higher one only when all VMs must have the
    change. So the slices of all owners together never exceed the larger of the old
    and the new limit, although owners learn of the change at different times and the
    slices may move to other shards.

    Parameters
    ----------
    bucket : Bucket or None
        Initial version; None when the bucket did not exist.
    shard_count : int
        Number of shards.
    options : LimitOptions
        Settings of the limits.
    """

    __slots__ = (
        "bucket",
        "_old_versions",
        "_shards",
        "_changed_at",
        "_shard_count",
        "_options",
    )

    def __init__(
        self, bucket: Bucket | None, shard_count: int, options: LimitOptions
    ) -> None:
        self.bucket = bucket
        self._shard_count = shard_count
        self._options = options
        self._old_versions: list[Bucket | None] = []
        self._changed_at = float("-inf")
        self._shards: dict[Bucket, frozenset[int]] = {}

    def change(self, bucket: Bucket | None, now: float) -> None:
        """Set the newest version; None when the bucket was removed."""
        if self.is_propagated(now):
            self._old_versions.clear()
        self._old_versions.append(self.bucket)
        self.bucket = bucket
        self._changed_at = now

    def is_propagated(self, now: float) -> bool:
        """Return whether all VMs must have the newest version."""
        return now > self._propagated_at()

    def can_drop(self, now: float) -> bool:
        """Return whether older versions no longer matter.

        This is so once any slice without state has had the time to refill fully
        since the newest version reached all VMs.
        """
        if not self.is_propagated(now):
            return False
        if self.bucket is None:
            return True
        propagated_s = now - self._propagated_at()
        return propagated_s * self.bucket.rate >= self.bucket.burst

    def limit(self, shard: int, now: float) -> SliceLimit:
        """Return the limit that applies now to the slice on `shard`."""
        newest = self._limit_of(self.bucket, shard)
        if self.is_propagated(now):
            return newest
        limits = [newest, *self._old_limits(shard)]
        return SliceLimit(
            min(limit.rate for limit in limits), min(limit.burst for limit in limits)
        )

    def initial_level(self, shard: int, now: float, since: float) -> float:
        """Return the initial level of a slice of which this owner has no state.

        Parameters
        ----------
        shard : int
            Shard that holds the slice.
        now : float
            Monotonic time in seconds.
        since : float
            Monotonic time in seconds from which the slice refills; minus infinity
            when it may start full.
        """
        limit = self.limit(shard, now)
        refilled = _level(limit, now - since)
        if not self._old_versions:
            return refilled
        least = min(old.burst for old in (limit, *self._old_limits(shard)))
        propagated_s = max(now - self._propagated_at(), 0.0)
        return min(refilled, least + _level(limit, propagated_s))

    def _propagated_at(self) -> float:
        # This VM's clock may run fast, so the wait is longer by the largest drift.
        spread_s = self._options.config_spread_s
        return self._changed_at + spread_s * (1.0 + self._options.max_clock_drift)

    def _old_limits(self, shard: int) -> list[SliceLimit]:
        return [self._limit_of(old, shard) for old in self._old_versions]

    def _limit_of(self, bucket: Bucket | None, shard: int) -> SliceLimit:
        if bucket is None:
            return ZERO_LIMIT
        shards = self._shards.get(bucket)
        if shards is None:
            shards = frozenset(bucket.shards(self._shard_count, self._options))
            self._shards[bucket] = shards
        if shard not in shards:
            return ZERO_LIMIT
        # A clock that runs fast by `max_clock_drift` must not refill above the
        # configured rate.
        rate = bucket.rate * (1.0 - self._options.max_clock_drift)
        return SliceLimit(rate / len(shards), bucket.burst / len(shards))


def _level(limit: SliceLimit, seconds: float) -> float:
    if limit.rate <= 0.0:
        return limit.burst if seconds == float("inf") else 0.0
    return min(max(seconds, 0.0) * limit.rate, limit.burst)
