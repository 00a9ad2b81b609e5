"""Preferred owners of shards, by rendezvous hashing over the region's live VMs."""

from collections.abc import Iterable

from lacewingpond.util.rendezvous import ranked, score


def preferred_owner(shard: int, vm_ids: Iterable[str]) -> str | None:
    """Return the preferred owner of `shard`, or None if `vm_ids` is empty."""
    name = _shard_name(shard)
    return max(vm_ids, key=lambda vm_id: (score(name, vm_id), vm_id), default=None)


def preferred_owners(shard: int, vm_ids: Iterable[str], count: int) -> list[str]:
    """Return the `count` most preferred owners of `shard`, in order of preference."""
    return ranked(_shard_name(shard), vm_ids)[:count]


def claimer_rank(vm_id: str, others: Iterable[str], region: str) -> int:
    """Return the rank of `vm_id`, from 0, among the VMs that assign unowned shards."""
    return ranked(f"claimer/{region}", {vm_id, *others}).index(vm_id)


def _shard_name(shard: int) -> str:
    return f"shard/{shard}"
