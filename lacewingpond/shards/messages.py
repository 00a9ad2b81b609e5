"""Messages between VMs about shards."""

from msgspec import Struct

from lacewingpond.peers.base import Message
from lacewingpond.shards.row import ShardRow


class ShardNews(Message):
    """Rows of the shard table that changed between two versions."""

    after_version: int
    version: int
    rows: tuple[ShardRow, ...]


class ShardPull(Message):
    """Requests the rows that changed after `version`."""

    version: int


class StateChunk(Struct, frozen=True, array_like=True):
    """A chunk of the state of a shard that its owner has released.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch in which the sender owned it.
    index, count : int
        Position of this chunk, from 0, and the number of chunks.
    data : bytes
        Content of the chunk.
    """

    shard: int
    epoch: int
    index: int
    count: int
    data: bytes


class ShardNotes(Message):
    """Chunks of the states of one or more shards."""

    chunks: tuple[StateChunk, ...]


class ShardNotesAck(Message):
    """Whether the receiver stored all chunks, and its incarnation."""

    accepted: bool
    incarnation: str


class ShardTakeoverNotice(Message):
    """Tells an owner that it is missing from the VM list and will be replaced."""


class ShardTakeoverAnswer(Message):
    """Whether the owner finds itself in the VM list, contrary to the sender."""

    listed: bool


class HeldShard(Struct, frozen=True, array_like=True):
    """A shard whose complete state a VM has received from the owner of an epoch."""

    shard: int
    epoch: int
    sender: str


class ShardOffer(Message):
    """Asks whether the receiver can become the owner of shards."""


class ShardOfferAnswer(Message):
    """Whether the receiver can become an owner, and its incarnation.

    Parameters
    ----------
    accepted : bool
        Whether it can take shards over.
    incarnation : str
        Incarnation of the responding process.
    held : tuple of HeldShard
        Shards whose state the process already holds.
    """

    accepted: bool
    incarnation: str
    held: tuple[HeldShard, ...] = ()
