"""Limits of a bucket while a change of the configuration spreads."""

from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice import SliceLimit

NO_LIMIT = SliceLimit(0.0, 0.0)
"""Limit of a slice that a bucket does not have."""


class LimitHistory:
    """The versions of one bucket that some VM may still apply.

    A lower limit applies at once and a higher one after the time in which all
    VMs have the change. So the slices of all owners together never exceed the
    larger of the old and the new limit, although owners learn it at different
    times and the slices may lie on other shards than before.

    Parameters
    ----------
    bucket : Bucket or None
        First version; None when the bucket did not exist.
    shard_count : int
        Number of shards.
    options : LimitOptions
        Settings of the limits.
    """

    __slots__ = ("bucket", "_versions", "_shards", "_changed_at", "_count", "_options")

    def __init__(
        self, bucket: Bucket | None, shard_count: int, options: LimitOptions
    ) -> None:
        self.bucket = bucket
        self._count = shard_count
        self._options = options
        self._versions: list[Bucket | None] = []
        self._changed_at = float("-inf")
        self._shards: dict[Bucket, frozenset[int]] = {}

    def change(self, bucket: Bucket | None, now: float) -> None:
        """Make `bucket` the newest version."""
        if self.is_settled(now):
            self._versions.clear()
        self._versions.append(self.bucket)
        self.bucket = bucket
        self._changed_at = now

    def is_settled(self, now: float) -> bool:
        """Return whether all VMs have the newest version."""
        return now > self._settled_at()

    def is_forgettable(self, now: float) -> bool:
        """Return whether a slice would be full by now whatever its past."""
        if not self.is_settled(now):
            return False
        if self.bucket is None:
            return True
        settled_s = now - self._settled_at()
        return settled_s * self.bucket.rate >= self.bucket.burst

    def limit(self, shard: int, now: float) -> SliceLimit:
        """Return the limit of the slice on `shard` that applies now."""
        newest = self._limit_of(self.bucket, shard)
        if self.is_settled(now):
            return newest
        limits = [newest, *self._old_limits(shard)]
        return SliceLimit(
            min(limit.rate for limit in limits), min(limit.burst for limit in limits)
        )

    def first_level(self, shard: int, now: float, since: float) -> float:
        """Return the level of a slice without earlier use on this owner.

        Parameters
        ----------
        shard : int
            Shard that holds the slice.
        now : float
            Monotonic time in seconds.
        since : float
            Time from which the owner may count a refill; minus infinity when
            the slice may start full.
        """
        limit = self.limit(shard, now)
        refilled = _level(limit, now - since)
        if not self._versions:
            return refilled
        least = min(old.burst for old in (limit, *self._old_limits(shard)))
        settled_s = max(now - self._settled_at(), 0.0)
        return min(refilled, least + _level(limit, settled_s))

    def _settled_at(self) -> float:
        # The clock of this VM may run fast, so it waits a little longer.
        spread_s = self._options.config_spread_s
        return self._changed_at + spread_s * (1.0 + self._options.max_clock_drift)

    def _old_limits(self, shard: int) -> list[SliceLimit]:
        return [self._limit_of(old, shard) for old in self._versions]

    def _limit_of(self, bucket: Bucket | None, shard: int) -> SliceLimit:
        if bucket is None:
            return NO_LIMIT
        shards = self._shards.get(bucket)
        if shards is None:
            shards = frozenset(bucket.shards(self._count, self._options))
            self._shards[bucket] = shards
        if shard not in shards:
            return NO_LIMIT
        # A clock that runs fast by the stated drift still refills at most at
        # the configured rate.
        rate = bucket.rate * (1.0 - self._options.max_clock_drift)
        return SliceLimit(rate / len(shards), bucket.burst / len(shards))


def _level(limit: SliceLimit, seconds: float) -> float:
    if limit.rate <= 0.0:
        return limit.burst if seconds == float("inf") else 0.0
    return min(max(seconds, 0.0) * limit.rate, limit.burst)
