"""Shards that this process has stopped acting for, on their way to their takers."""

from collections.abc import Iterator

import msgspec
from msgspec import Struct

from lacewingpond.shards.messages import ShardNote


class ReleasedShard(Struct, frozen=True):
    """A shard, its state and the VMs that may take it, best first.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch in which this process owned it.
    data : bytes
        States of all parts.
    takers : tuple of str
        VMs that have not refused yet.
    """

    shard: int
    epoch: int
    data: bytes
    takers: tuple[str, ...]

    @property
    def best_taker(self) -> str | None:
        """The VM to ask next; None when all have refused."""
        return self.takers[0] if self.takers else None

    def without_best_taker(self) -> "ReleasedShard":
        """Return the shard with one taker less."""
        return msgspec.structs.replace(self, takers=self.takers[1:])

    def to_notes(self, size: int) -> tuple[ShardNote, ...]:
        """Return the state in pieces of at most `size` bytes."""
        pieces = [self.data[at : at + size] for at in range(0, len(self.data), size)]
        return tuple(
            ShardNote(self.shard, self.epoch, number, len(pieces), piece)
            for number, piece in enumerate(pieces)
        )


def batches(notes: list[ShardNote], size: int) -> Iterator[tuple[ShardNote, ...]]:
    """Yield `notes` in groups whose data has at most `size` bytes together."""
    batch: list[ShardNote] = []
    held = 0
    for note in notes:
        if batch and held + len(note.data) > size:
            yield tuple(batch)
            batch, held = [], 0
        batch.append(note)
        held += len(note.data)
    if batch:
        yield tuple(batch)
