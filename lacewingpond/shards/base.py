"""Interfaces between shard ownership and the rest of the daemon."""

from typing import Protocol

from msgspec import Struct


class Ownership(Struct, frozen=True):
    """A shard and its owner, as recorded in the shard table.

    Parameters
    ----------
    shard : int
        Shard number.
    vm_id, incarnation : str
        The owning process; each start of the daemon gets a new incarnation.
    epoch : int
        Increases with each change of owner.
    clean : bool
        True when the previous owner handed its state over, or there was no
        previous owner.
    since : float
        When the row was written, in seconds since the Unix epoch.
    """

    shard: int
    vm_id: str
    incarnation: str
    epoch: int
    clean: bool
    since: float


class ShardView(Protocol):
    """The shard table as known to this VM; it may be out of date."""

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        ...

    def owner(self, shard: int) -> Ownership | None:
        """Return the last known owner, or None."""
        ...

    def active_ownership(self, shard: int) -> Ownership | None:
        """Return the ownership if this process may currently act as the owner."""
        ...


class ShardComponent(Protocol):
    """A component of the daemon that keeps state for each shard owned by its VM.

    Attributes
    ----------
    name : str
        Identifies the component's state in a handover.
    """

    name: str

    def release(self, shard: int) -> bytes:
        """Stop acting as the owner of `shard` and return its encoded state."""
        ...

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Start acting as the owner of a shard.

        Parameters
        ----------
        ownership : Ownership
            The shard, its epoch and whether it was handed over.
        state : bytes or None
            What `release` returned on the previous owner; None for a new shard or
            after a takeover without a handover.
        """
        ...
