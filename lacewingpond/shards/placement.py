"""Preferred owners of shards: rendezvous hashing over the region's live VMs."""

from collections.abc import Iterable

from lacewingpond.util.rendezvous import ranked, score


def preferred_owner(shard: int, vm_ids: Iterable[str]) -> str | None:
    """Return the VM that should own `shard`, or None without any VM."""
    name = _name(shard)
    return max(vm_ids, key=lambda vm_id: (score(name, vm_id), vm_id), default=None)


def takers(shard: int, vm_ids: Iterable[str], count: int) -> list[str]:
    """Return the best VMs for `shard`, best first."""
    return ranked(_name(shard), vm_ids)[:count]


def claimer_rank(vm_id: str, others: Iterable[str], region: str) -> int:
    """Return this VM's place among those that give out free shards, from 0."""
    return ranked(f"claimer/{region}", {vm_id, *others}).index(vm_id)


def _name(shard: int) -> str:
    return f"shard/{shard}"
