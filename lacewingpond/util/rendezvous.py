"""Rendezvous hashing: every VM ranks the same candidates in the same order.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

import xxhash


def score(name: str, candidate: str) -> int:
    """Return the 64-bit weight of `candidate` for `name`."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{candidate}".encode())


def ranked(name: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates`, best first, for `name`."""
    return sorted(candidates, key=lambda c: (score(name, c), c), reverse=True)


def shard_of(name: str, shard_count: int) -> int:
    """Return the shard, from 0 to `shard_count` - 1, that `name` belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % shard_count
