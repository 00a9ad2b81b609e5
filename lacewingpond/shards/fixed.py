"""A shard table that never changes, for use without a store."""

from lacewingpond.shards.base import Ownership


class FixedShards:
    """Divides the shards among given VMs.

    Parameters
    ----------
    shard_count : int
        Number of shards.
    vm_ids : tuple of str
        Owners, in turn.
    vm_id : str
        This VM.
    """

    __slots__ = ("_shard_count", "_vm_ids", "_vm_id")

    def __init__(self, shard_count: int, vm_ids: tuple[str, ...], vm_id: str) -> None:
        self._shard_count = shard_count
        self._vm_ids = vm_ids
        self._vm_id = vm_id

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return self._shard_count

    def owner(self, shard: int) -> Ownership | None:
        """Return the owner of `shard`."""
        vm_id = self._vm_ids[shard % len(self._vm_ids)]
        return Ownership(shard, vm_id, "fixed", 1, clean=True, since=0.0)

    def owned(self, shard: int) -> Ownership | None:
        """Return the ownership if this VM is the owner."""
        ownership = self.owner(shard)
        return ownership if ownership.vm_id == self._vm_id else None
