"""Rendezvous hashing: all VMs rank candidates in the same order.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

import xxhash


def score(name: str, candidate: str) -> int:
    """Return the 64-bit score of `candidate` for `name`."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{candidate}".encode())


def ranked(name: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` by descending score for `name`."""
    return sorted(candidates, key=lambda c: (score(name, c), c), reverse=True)


def shard_of(name: str, shard_count: int) -> int:
    """Return the shard of `name`, from 0 to `shard_count` - 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) % shard_count
