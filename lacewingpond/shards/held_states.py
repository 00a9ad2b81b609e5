"""States handed over to this VM before the table names it as the owner."""

import msgspec
from msgspec import Struct

from lacewingpond.shards.messages import HeldShard, StateChunk


class ComponentState(Struct, frozen=True, array_like=True):
    """Encoded state that one component of the daemon keeps for a shard."""

    component: str
    data: bytes


def encode_states(states: tuple[ComponentState, ...]) -> bytes:
    """Return the states of all components as one value."""
    return msgspec.msgpack.encode(states)


def decode_states(data: bytes) -> tuple[ComponentState, ...]:
    """Return the states encoded in `data`; an empty tuple if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[ComponentState, ...])
    except msgspec.DecodeError:
        return ()


class HeldState:
    """The chunks received so far of the state of one shard."""

    __slots__ = ("sender", "shard", "epoch", "received_at", "retry_at", "_chunks")

    def __init__(self, sender: str, shard: int, epoch: int, now: float) -> None:
        self.sender = sender
        self.shard = shard
        self.epoch = epoch
        self.received_at = now
        self.retry_at = now
        self._chunks: list[bytes | None] = []

    def add(self, chunk: StateChunk) -> None:
        """Store a chunk; a different chunk count discards the earlier ones."""
        if len(self._chunks) != chunk.count:
            self._chunks = [None] * chunk.count
        self._chunks[chunk.index] = chunk.data

    @property
    def size(self) -> int:
        """Number of bytes held."""
        return sum(len(chunk) for chunk in self._chunks if chunk is not None)

    @property
    def is_complete(self) -> bool:
        """Whether all chunks have arrived."""
        return bool(self._chunks) and None not in self._chunks

    def states(self) -> tuple[ComponentState, ...]:
        """Return the states of all components; only valid when complete."""
        return decode_states(b"".join(self._chunks))


class HeldStates:
    """Received states by shard, with bounded memory.

    Parameters
    ----------
    max_bytes : int
        Total size of all states.
    max_chunks : int
        Maximum number of chunks of one state.
    ttl_s : float
        How long a state is held after its last chunk arrived, in seconds.
    """

    __slots__ = ("_max_bytes", "_max_chunks", "_ttl_s", "_states")

    def __init__(self, max_bytes: int, max_chunks: int, ttl_s: float) -> None:
        self._max_bytes = max_bytes
        self._max_chunks = max_chunks
        self._ttl_s = ttl_s
        self._states: dict[int, HeldState] = {}

    def add(self, sender: str, chunk: StateChunk, now: float) -> bool:
        """Store a chunk.

        Returns
        -------
        bool
            False when the chunk is invalid, exceeds a bound, or belongs to an older
            epoch than the state held for its shard.
        """
        if not 0 <= chunk.index < chunk.count <= self._max_chunks:
            return False
        total_bytes = sum(state.size for state in self._states.values())
        if total_bytes + len(chunk.data) > self._max_bytes:
            return False
        state = self._states.get(chunk.shard)
        if state is not None and state.epoch > chunk.epoch:
            return False
        same = state and (state.sender, state.epoch) == (sender, chunk.epoch)
        if not same:
            state = HeldState(sender, chunk.shard, chunk.epoch, now)
            self._states[chunk.shard] = state
        state.received_at = state.retry_at = now
        state.add(chunk)
        return True

    def get(self, shard: int, epoch: int) -> HeldState | None:
        """Return the complete state of `shard` from the owner of `epoch`, or None."""
        state = self._states.get(shard)
        if state is None or state.epoch != epoch or not state.is_complete:
            return None
        return state

    def complete(self) -> tuple[HeldShard, ...]:
        """Return the shards whose states are complete."""
        return tuple(
            HeldShard(state.shard, state.epoch, state.sender)
            for state in self._states.values()
            if state.is_complete
        )

    def discard(self, shard: int) -> None:
        """Drop the state of `shard`, if any."""
        self._states.pop(shard, None)

    def overdue(self, now: float, wait_s: float) -> list[HeldState]:
        """Drop expired states; return complete ones not retried for `wait_s`."""
        for state in list(self._states.values()):
            if now - state.received_at > self._ttl_s:
                del self._states[state.shard]
        return [
            state
            for state in self._states.values()
            if state.is_complete and now - state.retry_at >= wait_s
        ]
