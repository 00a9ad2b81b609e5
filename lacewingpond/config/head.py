"""The head: the one value whose compare-and-swap puts a revision in force."""

import hashlib
import zlib

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.chunks import COMPRESSION_LEVEL, DIGEST_BYTES, ChunkRef

MAX_HEAD_BYTES = 4_000_000
HISTORY_LENGTH = 256


class Confirmed(Struct, frozen=True, array_like=True):
    """A plan and the revision that it made."""

    revision: int
    plan_id: str


class Head(Struct, frozen=True, array_like=True):
    """Names all chunks of one revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration.
    buckets : dict of str to int
        Number of hash buckets by kind.
    chunks : tuple of ChunkRef
        All chunks that are not empty, in order.
    history : tuple of Confirmed
        The last `HISTORY_LENGTH` plans, newest last, so that a confirmation whose
        answer was lost can be looked up.
    """

    revision: int = 0
    buckets: dict[str, int] = {}
    chunks: tuple[ChunkRef, ...] = ()
    history: tuple[Confirmed, ...] = ()

    def root(self) -> bytes:
        """Return the digest of the whole revision."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        digest.update(msgspec.msgpack.encode((self.revision, self.plan_id)))
        digest.update(b"".join(ref.digest for ref in self.chunks))
        return digest.digest()

    @property
    def plan_id(self) -> str:
        """Plan that made this revision; empty for the first one."""
        return self.history[-1].plan_id if self.history else ""

    def confirmed(self, plan_id: str) -> Confirmed | None:
        """Return what became of a plan, if it is among the last confirmed ones."""
        for confirmed in reversed(self.history):
            if confirmed.plan_id == plan_id:
                return confirmed
        return None

    def remembers(self, base_revision: int) -> bool:
        """Return whether a plan for `base_revision` would be in the history."""
        if len(self.history) < HISTORY_LENGTH:
            return True
        return self.history[0].revision <= base_revision + 1

    def to_bytes(self) -> bytes:
        """Return the value that the store holds."""
        return zlib.compress(msgspec.msgpack.encode(self), COMPRESSION_LEVEL)

    @classmethod
    def from_bytes(cls, value: bytes) -> Result["Head", str]:
        """Read a head; garbage is an error."""
        try:
            content = zlib.decompressobj().decompress(value, MAX_HEAD_BYTES)
            return Ok(msgspec.msgpack.decode(content, type=cls))
        except (zlib.error, msgspec.DecodeError) as exc:
            return Err(f"configuration head: {exc}")
