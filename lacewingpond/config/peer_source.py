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
    """The configuration as another VM holds it.

    Parameters
    ----------
    channel : PeerChannel
        Reaches the VM.
    vm_id : str
        Which VM.
    timeout_s : float
        Longest wait for one answer.
    """

    __slots__ = ("_channel", "_vm_id", "_timeout_s")

    def __init__(self, channel: PeerChannel, vm_id: str, timeout_s: float) -> None:
        self._channel = channel
        self._vm_id = vm_id
        self._timeout_s = timeout_s

    def read_head(self) -> Result[Head, str]:
        """Read the head in force there."""
        answer = self._channel.call(self._vm_id, ConfigHeadPull(), self._timeout_s)
        if answer.is_err():
            return Err(f"VM {self._vm_id}: {answer.err_value.detail}")
        if not isinstance(answer.ok_value, ConfigHead):
            return Err(f"VM {self._vm_id}: no head")
        return Head.from_bytes(answer.ok_value.head)

    def read_chunks(
        self, refs: tuple[ChunkRef, ...]
    ) -> Result[dict[bytes, Chunk], str]:
        """Read chunks by their digests, some at a time."""
        chunks: dict[bytes, Chunk] = {}
        left = list(refs)
        while left:
            pull = ConfigChunkPull(tuple(left[:REFS_PER_CALL]))
            answer = self._channel.call(self._vm_id, pull, self._timeout_s)
            if answer.is_err():
                return Err(f"VM {self._vm_id}: {answer.err_value.detail}")
            got = answer.ok_value
            if not isinstance(got, ConfigChunks) or not got.chunks:
                return Err(f"VM {self._vm_id}: chunks are gone")
            chunks.update((chunk.digest, chunk) for chunk in got.chunks)
            held = len(left)
            left = [ref for ref in left if ref.digest not in chunks]
            if len(left) == held:
                return Err(f"VM {self._vm_id}: other chunks than asked for")
        return Ok(chunks)
