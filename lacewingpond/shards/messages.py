"""Messages of the shards."""

from msgspec import Struct

from lacewingpond.peers.base import Message
from lacewingpond.shards.row import ShardRow


class ShardNews(Message):
    """The rows that changed between two versions of the table."""

    after_version: int
    version: int
    rows: tuple[ShardRow, ...]


class ShardPull(Message):
    """Asks for the rows that changed after a version."""

    version: int


class ShardNote(Struct, frozen=True, array_like=True):
    """A piece of the state of a shard whose owner has stopped acting.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch in which the sender owned it.
    chunk, chunks : int
        Number of this piece, from 0, and of all pieces.
    data : bytes
        The piece.
    """

    shard: int
    epoch: int
    chunk: int
    chunks: int
    data: bytes


class ShardNotes(Message):
    """Pieces of the states of one or more shards."""

    notes: tuple[ShardNote, ...]


class ShardNotesAck(Message):
    """Whether the receiver holds all the pieces, and which process it is."""

    accepted: bool
    incarnation: str


class ShardTakeoverNotice(Message):
    """Tells an owner that it is missing from the list and will be replaced."""


class ShardTakeoverAnswer(Message):
    """Whether the owner reads itself in the list, against what the sender read."""

    listed: bool


class HeldShard(Struct, frozen=True, array_like=True):
    """A shard whose owner, in some epoch, has sent its state."""

    shard: int
    epoch: int
    sender: str


class ShardOffer(Message):
    """Asks whether the receiver can take shards."""


class ShardOfferAnswer(Message):
    """Whether the receiver can take shards, and which process it is.

    Parameters
    ----------
    accepted : bool
        Whether it can take shards.
    incarnation : str
        The answering process.
    held : tuple of HeldShard
        Shards whose state it holds already.
    """

    accepted: bool
    incarnation: str
    held: tuple[HeldShard, ...] = ()
