"""What the rest of the daemon sees of the shards, and what shards carry."""

from typing import Protocol

from msgspec import Struct


class Ownership(Struct, frozen=True):
    """A shard and its owner as the table in the store records it.

    Parameters
    ----------
    shard : int
        Number of the shard.
    vm_id, incarnation : str
        The owning process; a restarted daemon has another incarnation.
    epoch : int
        Rises with each change of owner.
    clean : bool
        True when the predecessor handed its state over, or there was none.
    since : float
        When the owner wrote the table, in seconds since the Unix epoch.
    """

    shard: int
    vm_id: str
    incarnation: str
    epoch: int
    clean: bool
    since: float


class ShardView(Protocol):
    """The shard table as this VM knows it."""

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        ...

    def owner(self, shard: int) -> Ownership | None:
        """Return the last known owner, or None."""
        ...

    def owned(self, shard: int) -> Ownership | None:
        """Return the ownership if this process may act as the owner now."""
        ...


class ShardPart(Protocol):
    """A part of the daemon that keeps state for the shards it owns.

    Attributes
    ----------
    name : str
        Names the part's state in a hand-over.
    """

    name: str

    def release(self, shard: int) -> bytes:
        """Stop acting as the owner of `shard` and return its state."""
        ...

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Start acting as the owner.

        Parameters
        ----------
        ownership : Ownership
            The shard, its epoch and whether it was handed over.
        state : bytes or None
            What `release` returned on the predecessor; None after a take-over
            without a hand-over or for a new shard.
        """
        ...
