"""Lookup of the buckets of a configuration by id."""

from collections.abc import Iterator

from lacewingpond.config.model import Config, Route, Service, Workspace
from lacewingpond.limits.bucket import Bucket

MIN_BURST_TOKENS = 1.0
Limited = Workspace | Route | Service
"""Parts of the configuration that may have a rate limit."""


class BucketIndex:
    """Index of the buckets of one configuration by id.

    A `Bucket` is created on lookup: of tens of thousands of configured buckets only
    the few with traffic are needed.

    Parameters
    ----------
    cfg : Config
        The configuration.
    """

    __slots__ = ("_by_kind",)

    def __init__(self, cfg: Config) -> None:
        self._by_kind: dict[str, dict[str, Limited]] = {
            "w": {w.name: w for w in cfg.workspaces if w.rate > 0.0},
            "r": {r.name: r for r in cfg.routes if r.rate > 0.0},
            "s": {s.name: s for s in cfg.services if s.rate > 0.0},
        }

    def __contains__(self, bucket_id: str) -> bool:
        return self._find(bucket_id) is not None

    def get(self, bucket_id: str) -> Bucket | None:
        """Return a bucket, or None when the configuration has no limit for the id."""
        found = self._find(bucket_id)
        if found is None:
            return None
        return Bucket(bucket_id, found.rate, max(found.burst, MIN_BURST_TOKENS))

    def changed_ids(self, other: "BucketIndex") -> Iterator[str]:
        """Yield the ids of buckets that differ from those in `other`."""
        for kind, own in self._by_kind.items():
            theirs = other._by_kind[kind]
            for name in own.keys() | theirs.keys():
                if not _has_same_limit(own.get(name), theirs.get(name)):
                    yield f"{kind}:{name}"

    def _find(self, bucket_id: str) -> Limited | None:
        kind, _, name = bucket_id.partition(":")
        return self._by_kind.get(kind, {}).get(name)


def _has_same_limit(one: Limited | None, other: Limited | None) -> bool:
    if one is None or other is None:
        return one is other
    return one is other or (one.rate == other.rate and one.burst == other.burst)
