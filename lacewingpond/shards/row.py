"""One row of the shard table."""

from msgspec import Struct

from lacewingpond.shards.base import Ownership
from lacewingpond.shards.process import ProcessId


class ShardRow(Struct, frozen=True, array_like=True):
    """The owner of one shard and the table version that recorded it.

    Parameters
    ----------
    shard : int
        Shard number.
    vm_id, incarnation : str
        The owning process.
    epoch : int
        Increases with each change of owner.
    clean : bool
        True when the previous owner handed its state over, or there was no
        previous owner.
    since : float
        When the row was written, in seconds since the Unix epoch.
    version : int
        Version of the table that wrote the row.
    """

    shard: int
    vm_id: str
    incarnation: str
    epoch: int
    clean: bool
    since: float
    version: int

    @property
    def owner(self) -> ProcessId:
        """The owning process."""
        return ProcessId(self.vm_id, self.incarnation)

    def to_ownership(self, with_state: bool = True) -> Ownership:
        """Return the row as an `Ownership`.

        Parameters
        ----------
        with_state : bool
            False when the state that was handed over did not arrive; the ownership
            is not clean then.
        """
        return Ownership(
            shard=self.shard,
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            epoch=self.epoch,
            clean=self.clean and with_state,
            since=self.since,
        )
