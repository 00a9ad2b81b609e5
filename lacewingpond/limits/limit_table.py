"""Limits of all buckets by id, across configuration changes."""

from lacewingpond.config.model import Config
from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.bucket_index import BucketIndex
from lacewingpond.limits.limit_history import LimitHistory
from lacewingpond.limits.options import LimitOptions


class LimitTable:
    """Holds the newest buckets, and older versions of recently changed ones.

    Parameters
    ----------
    shard_count : int
        Number of shards.
    options : LimitOptions
        Settings of the limits.
    """

    __slots__ = (
        "buckets",
        "_changed",
        "_cache",
        "_shard_count",
        "_options",
        "_configured",
    )

    def __init__(self, shard_count: int, options: LimitOptions) -> None:
        self.buckets = BucketIndex(Config())
        self._changed: dict[str, LimitHistory] = {}
        self._cache: dict[str, LimitHistory] = {}
        self._shard_count = shard_count
        self._options = options
        self._configured = False

    def configure(self, cfg: Config, now: float) -> None:
        """Apply a new configuration."""
        buckets = BucketIndex(cfg)
        old, self.buckets = self.buckets, buckets
        self._cache.clear()
        self._drop_settled(now)
        if self._configured:
            for bucket_id in buckets.changed_ids(old):
                self._change(bucket_id, old.get(bucket_id), now)
        self._configured = True

    def history(self, bucket_id: str) -> LimitHistory | None:
        """Return the versions of a bucket, or None when it is unknown."""
        changed = self._changed.get(bucket_id)
        if changed is not None:
            return changed
        bucket = self.buckets.get(bucket_id)
        if bucket is None:
            return None
        return self._cached(bucket)

    def drop_cached(self, bucket_id: str) -> None:
        """Drop cached data of an idle bucket, which can be computed again."""
        self._cache.pop(bucket_id, None)

    def _cached(self, bucket: Bucket) -> LimitHistory:
        history = self._cache.get(bucket.bucket_id)
        if history is None:
            history = LimitHistory(bucket, self._shard_count, self._options)
            self._cache[bucket.bucket_id] = history
        return history

    def _change(self, bucket_id: str, old: Bucket | None, now: float) -> None:
        history = self._changed.get(bucket_id)
        if history is None and old is None:
            # The bucket is new to the fleet, so no VM can have granted from it.
            return
        if history is None:
            history = LimitHistory(old, self._shard_count, self._options)
            self._changed[bucket_id] = history
        history.change(self.buckets.get(bucket_id), now)

    def _drop_settled(self, now: float) -> None:
        for bucket_id, history in list(self._changed.items()):
            if history.can_drop(now):
                del self._changed[bucket_id]
