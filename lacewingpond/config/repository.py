"""Stores the configuration and pending plans in the platform's store."""

import zlib

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.chunks import COMPRESSION_LEVEL, Chunk, ChunkRef
from lacewingpond.config.head import Head
from lacewingpond.config.plan import Plan
from lacewingpond.config.state import ConfigState
from lacewingpond.store.base import Store, StoreError, StoreFailure

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"
PLAN_PREFIX = "config/plan/"
PLAN_TTL_S = 86_400.0
WRITE_ATTEMPTS = 4
MAX_PLAN_BYTES = 32_000_000
"""Longest plan, decompressed."""


class StoredHead(Struct, frozen=True):
    """A head and the store revision of its last write; 0 when there is none yet."""

    head: Head
    store_revision: int


class StoredChunk(Struct, frozen=True):
    """Store key of a chunk and the store revision of its last write."""

    key: str
    store_revision: int


class ConfigRepository:
    """Reads and writes heads, chunks and pending plans.

    Parameters
    ----------
    store : Store
        The platform's store.
    """

    __slots__ = ("store",)

    def __init__(self, store: Store) -> None:
        self.store = store

    def read_head(self) -> Result[StoredHead, StoreError]:
        """Return the stored head; that of revision 0 when the store is empty."""
        read = self.store.get(HEAD_KEY)
        if read.is_err():
            return read
        entry = read.ok_value
        if entry is None:
            return Ok(StoredHead(Head(), 0))
        return parse_head(entry.value, entry.revision)

    def read_chunks(
        self, refs: tuple[ChunkRef, ...]
    ) -> Result[dict[bytes, Chunk], str]:
        """Return the chunks that `refs` name, by digest."""
        chunks: dict[bytes, Chunk] = {}
        for ref in refs:
            read = self.store.get(chunk_key(ref.digest))
            if read.is_err():
                return Err(describe_store_error(read.err_value))
            if read.ok_value is None:
                return Err(f"chunk {ref.digest.hex()} is not in the store")
            chunks[ref.digest] = Chunk(ref.digest, read.ok_value.value)
        return Ok(chunks)

    def load(self, known: ConfigState, head: Head) -> Result[ConfigState, str]:
        """Return the state of `head`, reading only the chunks that `known` lacks."""
        if known.root == head.root():
            return Ok(known)
        return known.load(head, self.read_chunks)

    def find_chunks(
        self, refs: tuple[ChunkRef, ...]
    ) -> Result[tuple[StoredChunk, ...], StoreError]:
        """Return keys and store revisions of chunks, leaving out missing ones."""
        found = []
        for ref in refs:
            read = self.store.get(chunk_key(ref.digest))
            if read.is_err():
                return read
            if read.ok_value is not None:
                found.append(StoredChunk(read.ok_value.key, read.ok_value.revision))
        return Ok(tuple(found))

    def write_chunk(self, chunk: Chunk) -> Result[StoredChunk, StoreError]:
        """Write a chunk, even if it exists already.

        The write raises the store revision of an existing chunk, so a conditional
        deletion that was decided before the write fails.
        """
        key = chunk_key(chunk.digest)
        error = StoreError(StoreFailure.CONFLICT, key)
        for _ in range(WRITE_ATTEMPTS):
            read = self.store.get(key)
            if read.is_err():
                return read
            expected = read.ok_value.revision if read.ok_value else 0
            written = self.store.put_if(key, chunk.packed, expected)
            if written.is_ok():
                return Ok(StoredChunk(key, written.ok_value))
            error = written.err_value
            if error.failure not in (StoreFailure.CONFLICT, StoreFailure.UNKNOWN):
                break
        return Err(error)

    def write_chunks(
        self, state: ConfigState, refs: tuple[ChunkRef, ...]
    ) -> Result[None, StoreError]:
        """Write the chunks `refs` of `state`, before the head that refers to them.

        A writer whose compare-and-swap of the head then fails must not delete these
        chunks, as the head of another writer may refer to them.
        """
        for ref in refs:
            written = self.write_chunk(state.chunk(ref))
            if written.is_err():
                return written
        return Ok(None)

    def delete_chunks(self, stored: tuple[StoredChunk, ...]) -> None:
        """Delete chunks not written since; one that can't be deleted stays."""
        for chunk in stored:
            self.store.delete_if(chunk.key, chunk.store_revision)

    def write_head(self, head: Head, expected: int) -> Result[int, StoreError]:
        """Write `head` if the stored one still has the store revision `expected`.

        Returns the store revision of the write.
        """
        return self.store.put_if(HEAD_KEY, head.to_bytes(), expected)

    def save_plan(self, plan: Plan) -> Result[None, StoreError]:
        """Store a plan for `PLAN_TTL_S`, so that any VM can confirm it."""
        key = PLAN_PREFIX + plan.plan_id
        lease = self._grant_lease()
        if lease.is_err():
            return lease
        value = zlib.compress(msgspec.msgpack.encode(plan), COMPRESSION_LEVEL)
        saved = self.store.put_if(key, value, 0, lease.ok_value)
        if saved.is_ok():
            return Ok(None)
        # The id is derived from the content, so an existing entry is this plan.
        read = self.store.get(key)
        if read.is_ok() and read.ok_value is not None:
            return Ok(None)
        return saved

    def _grant_lease(self) -> Result[str, StoreError]:
        lease = self.store.grant_lease(PLAN_TTL_S)
        for _ in range(WRITE_ATTEMPTS):
            if lease.is_ok() or lease.err_value.failure is not StoreFailure.UNKNOWN:
                break
            # A lease whose response was lost has no keys attached and expires unused.
            lease = self.store.grant_lease(PLAN_TTL_S)
        return lease

    def read_plan(self, plan_id: str) -> Result[Plan | None, StoreError]:
        """Return a pending plan; None when it is unknown or has expired."""
        read = self.store.get(PLAN_PREFIX + plan_id)
        if read.is_err():
            return read
        if read.ok_value is None:
            return Ok(None)
        try:
            decompressor = zlib.decompressobj()
            content = decompressor.decompress(read.ok_value.value, MAX_PLAN_BYTES)
            return Ok(msgspec.msgpack.decode(content, type=Plan))
        except (zlib.error, msgspec.DecodeError) as exc:
            return Err(
                StoreError(
                    StoreFailure.UNAVAILABLE, f"plan {plan_id} can't be decoded: {exc}"
                )
            )


def parse_head(value: bytes, store_revision: int) -> Result[StoredHead, StoreError]:
    """Decode a head as returned by a read or a watch of the store."""
    head = Head.from_bytes(value)
    if head.is_err():
        return Err(StoreError(StoreFailure.UNAVAILABLE, head.err_value))
    return Ok(StoredHead(head.ok_value, store_revision))


def chunk_key(digest: bytes) -> str:
    """Return the store key of the chunk with `digest`."""
    return CHUNK_PREFIX + digest.hex()


def describe_store_error(error: StoreError) -> str:
    """Return a message for `error`."""
    return f"store {error.failure.value}: {error.detail}"
