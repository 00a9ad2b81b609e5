"""States that were handed over to this VM before the table names it the owner."""

import msgspec
from msgspec import Struct

from lacewingpond.shards.messages import HeldShard, ShardNote


class PartState(Struct, frozen=True, array_like=True):
    """What one part of the daemon kept for a shard."""

    part: str
    data: bytes


def encode_states(states: tuple[PartState, ...]) -> bytes:
    """Return the states of all parts as one value."""
    return msgspec.msgpack.encode(states)


def decode_states(data: bytes) -> tuple[PartState, ...]:
    """Return the states in `data`; none when it can't be read."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[PartState, ...])
    except msgspec.DecodeError:
        return ()


class HeldNote:
    """The state of one shard, whole or in part."""

    __slots__ = ("sender", "shard", "epoch", "received_at", "retry_at", "_chunks")

    def __init__(self, sender: str, shard: int, epoch: int, now: float) -> None:
        self.sender = sender
        self.shard = shard
        self.epoch = epoch
        self.received_at = now
        self.retry_at = now
        self._chunks: list[bytes | None] = []

    def add(self, message: ShardNote) -> None:
        """Take in a piece."""
        if len(self._chunks) != message.chunks:
            self._chunks = [None] * message.chunks
        self._chunks[message.chunk] = message.data

    @property
    def size(self) -> int:
        """Bytes held."""
        return sum(len(chunk) for chunk in self._chunks if chunk is not None)

    @property
    def is_whole(self) -> bool:
        """Whether all pieces have arrived."""
        return bool(self._chunks) and None not in self._chunks

    def states(self) -> tuple[PartState, ...]:
        """Return the states of all parts."""
        return decode_states(b"".join(self._chunks))


class HeldNotes:
    """Notes by shard, with bounded memory.

    Parameters
    ----------
    max_bytes : int
        All states together.
    max_chunks : int
        Pieces of one state.
    life_s : float
        How long a note is held, in seconds.
    """

    __slots__ = ("_max_bytes", "_max_chunks", "_life_s", "_notes")

    def __init__(self, max_bytes: int, max_chunks: int, life_s: float) -> None:
        self._max_bytes = max_bytes
        self._max_chunks = max_chunks
        self._life_s = life_s
        self._notes: dict[int, HeldNote] = {}

    def add(self, sender: str, message: ShardNote, now: float) -> bool:
        """Take in a piece; False when there is no room or it makes no sense."""
        if not 0 <= message.chunk < message.chunks <= self._max_chunks:
            return False
        held = sum(note.size for note in self._notes.values())
        if held + len(message.data) > self._max_bytes:
            return False
        note = self._notes.get(message.shard)
        if note is not None and note.epoch > message.epoch:
            return False
        same = note and (note.sender, note.epoch) == (sender, message.epoch)
        if not same:
            note = HeldNote(sender, message.shard, message.epoch, now)
            self._notes[message.shard] = note
        note.received_at = note.retry_at = now
        note.add(message)
        return True

    def get(self, shard: int, epoch: int) -> HeldNote | None:
        """Return the whole note of `shard` from the owner of `epoch`."""
        note = self._notes.get(shard)
        if note is None or note.epoch != epoch or not note.is_whole:
            return None
        return note

    def whole(self) -> tuple[HeldShard, ...]:
        """Return all shards whose state has arrived whole."""
        return tuple(
            HeldShard(note.shard, note.epoch, note.sender)
            for note in self._notes.values()
            if note.is_whole
        )

    def drop(self, shard: int) -> None:
        """Forget the note of `shard`."""
        self._notes.pop(shard, None)

    def waiting(self, now: float, patience_s: float) -> list[HeldNote]:
        """Return whole notes that wait for the table for `patience_s` or more."""
        for note in list(self._notes.values()):
            if now - note.received_at > self._life_s:
                del self._notes[note.shard]
        return [
            note
            for note in self._notes.values()
            if note.is_whole and now - note.retry_at >= patience_s
        ]
