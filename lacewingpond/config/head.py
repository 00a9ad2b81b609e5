"""The head: the single stored value whose compare-and-swap commits a revision."""

import hashlib
import zlib

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.chunks import COMPRESSION_LEVEL, DIGEST_BYTES, ChunkRef

MAX_HEAD_BYTES = 4_000_000  # decompressed
HISTORY_LENGTH = 256


class ConfirmedPlan(Struct, frozen=True, array_like=True):
    """A confirmed plan and the revision that it created."""

    revision: int
    plan_id: str


class Head(Struct, frozen=True, array_like=True):
    """All chunks of one revision, and the plans confirmed last.

    Parameters
    ----------
    revision : int
        Revision of the configuration.
    buckets : dict of str to int
        Number of hash buckets by kind.
    chunks : tuple of ChunkRef
        All chunks that are not empty, sorted.
    history : tuple of ConfirmedPlan
        The last `HISTORY_LENGTH` confirmed plans, newest last. The outcome of a
        confirmation whose response was lost is looked up here.
    """

    revision: int = 0
    buckets: dict[str, int] = {}
    chunks: tuple[ChunkRef, ...] = ()
    history: tuple[ConfirmedPlan, ...] = ()

    def root(self) -> bytes:
        """Return the digest of the whole revision."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        digest.update(msgspec.msgpack.encode((self.revision, self.plan_id)))
        digest.update(b"".join(ref.digest for ref in self.chunks))
        return digest.digest()

    @property
    def plan_id(self) -> str:
        """Id of the plan that created this revision; empty when there is none."""
        return self.history[-1].plan_id if self.history else ""

    def confirmed(self, plan_id: str) -> ConfirmedPlan | None:
        """Return the history's entry of a plan, or None."""
        for confirmed in reversed(self.history):
            if confirmed.plan_id == plan_id:
                return confirmed
        return None

    def history_covers(self, base_revision: int) -> bool:
        """Return whether the history would hold a plan made for `base_revision`."""
        if len(self.history) < HISTORY_LENGTH:
            return True
        return self.history[0].revision <= base_revision + 1

    def to_bytes(self) -> bytes:
        """Return the head encoded and compressed for the store."""
        return zlib.compress(msgspec.msgpack.encode(self), COMPRESSION_LEVEL)

    @classmethod
    def from_bytes(cls, value: bytes) -> Result["Head", str]:
        """Return the head encoded in `value`, or an error when it can't be decoded."""
        try:
            content = zlib.decompressobj().decompress(value, MAX_HEAD_BYTES)
            return Ok(msgspec.msgpack.decode(content, type=cls))
        except (zlib.error, msgspec.DecodeError) as exc:
            return Err(f"malformed configuration head: {exc}")
