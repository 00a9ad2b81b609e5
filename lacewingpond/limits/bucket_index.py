"""Finds the buckets of a configuration by id."""

from collections.abc import Iterator

from lacewingpond.config.model import Config, Route, Service, Workspace
from lacewingpond.limits.bucket import Bucket

MIN_BURST_TOKENS = 1.0
Limited = Workspace | Route | Service
"""What may have a rate."""


class BucketIndex:
    """The buckets of one configuration by id.

    A `Bucket` is made when it is asked for, since only the few with traffic are
    needed out of tens of thousands.

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
        """Return a bucket, or None."""
        found = self._find(bucket_id)
        if found is None:
            return None
        return Bucket(bucket_id, found.rate, max(found.burst, MIN_BURST_TOKENS))

    def differing(self, other: "BucketIndex") -> Iterator[str]:
        """Yield the ids of buckets that are not the same in `other`."""
        for kind, mine in self._by_kind.items():
            theirs = other._by_kind[kind]
            for name in mine.keys() | theirs.keys():
                if not _is_same(mine.get(name), theirs.get(name)):
                    yield f"{kind}:{name}"

    def _find(self, bucket_id: str) -> Limited | None:
        kind, _, name = bucket_id.partition(":")
        return self._by_kind.get(kind, {}).get(name)


def _is_same(one: Limited | None, other: Limited | None) -> bool:
    if one is None or other is None:
        return one is other
    return one is other or (one.rate == other.rate and one.burst == other.burst)
