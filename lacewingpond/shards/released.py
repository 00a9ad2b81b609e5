"""Shards that this process has released, on their way to their new owners."""

from collections.abc import Iterator

import msgspec
from msgspec import Struct

from lacewingpond.shards.messages import StateChunk


class ReleasedShard(Struct, frozen=True):
    """A released shard, its state and the candidates for its new owner.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch in which this process owned it.
    data : bytes
        Encoded states of all components.
    takers : tuple of str
        VMs still to be asked, most preferred first.
    """

    shard: int
    epoch: int
    data: bytes
    takers: tuple[str, ...]

    @property
    def next_candidate(self) -> str | None:
        """The VM to ask next; None when no candidate is left."""
        return self.takers[0] if self.takers else None

    def without_next_candidate(self) -> "ReleasedShard":
        """Return a copy without the first candidate."""
        return msgspec.structs.replace(self, takers=self.takers[1:])

    def to_chunks(self, size: int) -> tuple[StateChunk, ...]:
        """Return the state in chunks of at most `size` bytes."""
        chunks = [self.data[at : at + size] for at in range(0, len(self.data), size)]
        return tuple(
            StateChunk(self.shard, self.epoch, index, len(chunks), chunk)
            for index, chunk in enumerate(chunks)
        )


def batch_chunks(
    chunks: list[StateChunk], size: int
) -> Iterator[tuple[StateChunk, ...]]:
    """Yield `chunks` in batches of at most `size` bytes of data each.

    A chunk that is longer than `size` makes a batch of its own.
    """
    batch: list[StateChunk] = []
    batch_bytes = 0
    for chunk in chunks:
        if batch and batch_bytes + len(chunk.data) > size:
            yield tuple(batch)
            batch, batch_bytes = [], 0
        batch.append(chunk)
        batch_bytes += len(chunk.data)
    if batch:
        yield tuple(batch)
