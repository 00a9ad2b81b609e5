"""Reads heads and chunks from another VM."""

from result import Err, Ok, Result

from lacewingpond.config.chunks import Chunk, ChunkRef
from lacewingpond.config.head import Head
from lacewingpond.config.messages import (
    ConfigChunkPull,
    ConfigChunks,
    ConfigHead,
    ConfigHeadPull,
)
from lacewingpond.peers.base import PeerChannel

REFS_PER_CALL = 64


class PeerSource:
    """Reads the current configuration of another VM.

    Parameters
    ----------
    channel : PeerChannel
        Carries the requests.
    vm_id : str
        The VM to read from.
    timeout_s : float
        Longest wait for one response.
    """

    __slots__ = ("_channel", "_vm_id", "_timeout_s")

    def __init__(self, channel: PeerChannel, vm_id: str, timeout_s: float) -> None:
        self._channel = channel
        self._vm_id = vm_id
        self._timeout_s = timeout_s

    def read_head(self) -> Result[Head, str]:
        """Return the head of the VM's current revision."""
        response = self._channel.call(self._vm_id, ConfigHeadPull(), self._timeout_s)
        if response.is_err():
            return Err(f"VM {self._vm_id}: {response.err_value.detail}")
        if not isinstance(response.ok_value, ConfigHead):
            return Err(f"VM {self._vm_id}: responded without a configuration head")
        return Head.from_bytes(response.ok_value.head)

    def read_chunks(
        self, refs: tuple[ChunkRef, ...]
    ) -> Result[dict[bytes, Chunk], str]:
        """Return chunks by digest, read `REFS_PER_CALL` or fewer at a time."""
        chunks: dict[bytes, Chunk] = {}
        remaining = list(refs)
        while remaining:
            pull = ConfigChunkPull(tuple(remaining[:REFS_PER_CALL]))
            response = self._channel.call(self._vm_id, pull, self._timeout_s)
            if response.is_err():
                return Err(f"VM {self._vm_id}: {response.err_value.detail}")
            message = response.ok_value
            if not isinstance(message, ConfigChunks) or not message.chunks:
                return Err(f"VM {self._vm_id}: no longer holds the requested chunks")
            chunks.update((chunk.digest, chunk) for chunk in message.chunks)
            count_before = len(remaining)
            remaining = [ref for ref in remaining if ref.digest not in chunks]
            if len(remaining) == count_before:
                return Err(f"VM {self._vm_id}: sent none of the requested chunks")
        return Ok(chunks)
