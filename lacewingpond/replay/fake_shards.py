"""Shard table in memory, for replays and tests."""

from lacewingpond.shards.base import Ownership
from lacewingpond.util.clock import Clock


class FakeShardTable:
    """Owners of all shards, changed by the caller.

    Parameters
    ----------
    shard_count : int
        Number of shards.
    vm_ids : tuple of str
        VMs to which the shards are assigned round robin.
    clock : Clock
        Source of time.

    Attributes
    ----------
    owners : dict of int to Ownership
        Current ownership of each shard.
    """

    __slots__ = ("owners", "_clock")

    def __init__(self, shard_count: int, vm_ids: tuple[str, ...], clock: Clock) -> None:
        self._clock = clock
        self.owners: dict[int, Ownership] = {}
        for shard in range(shard_count):
            vm_id = vm_ids[shard % len(vm_ids)]
            self.owners[shard] = Ownership(shard, vm_id, "1", 1, True, clock.wall())

    def assign(self, shard: int, vm_id: str, clean: bool) -> Ownership:
        """Assign a shard to another VM and return the new ownership.

        `clean` says whether the previous owner handed its state over.
        """
        epoch = self.owners[shard].epoch + 1
        owner = Ownership(shard, vm_id, "1", epoch, clean, self._clock.wall())
        self.owners[shard] = owner
        return owner

    def shards_of(self, vm_id: str) -> tuple[int, ...]:
        """Return the shards that `vm_id` owns."""
        return tuple(s for s, owner in self.owners.items() if owner.vm_id == vm_id)

    def view(self, vm_id: str) -> "FakeShardView":
        """Return the view of `vm_id` on the table, which is always up to date."""
        return FakeShardView(self, vm_id)


class FakeShardView:
    """`ShardView` of one VM on a `FakeShardTable`.

    Parameters
    ----------
    table : FakeShardTable
        The table.
    vm_id : str
        The VM.
    """

    __slots__ = ("_table", "_vm_id")

    def __init__(self, table: FakeShardTable, vm_id: str) -> None:
        self._table = table
        self._vm_id = vm_id

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return len(self._table.owners)

    def owner(self, shard: int) -> Ownership | None:
        """Return the owner, or None if there is no such shard."""
        return self._table.owners.get(shard)

    def active_ownership(self, shard: int) -> Ownership | None:
        """Return the ownership if this VM is the owner, otherwise None."""
        owner = self._table.owners.get(shard)
        return owner if owner and owner.vm_id == self._vm_id else None
