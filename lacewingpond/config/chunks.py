"""Chunks: the content-addressed parts in which the store holds a configuration."""

import hashlib
import zlib

import msgspec
import xxhash
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.kinds import Item, ItemKind, name_of

DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1
MAX_CHUNK_BYTES = 4_000_000
"""Longest content of one chunk, decompressed."""

MAX_MEAN_ITEMS_PER_CHUNK = {
    ItemKind.WORKSPACE: 256,
    ItemKind.KEY: 256,
    ItemKind.SERVICE: 8,
    ItemKind.ROUTE: 256,
}
"""Average items per chunk above which the number of buckets doubles.

A service holds all its targets, so its chunks have fewer items.
"""


class ChunkRef(Struct, frozen=True, array_like=True, order=True):
    """Reference to one chunk of a revision.

    Parameters
    ----------
    kind : str
        Value of the `ItemKind` of its items.
    bucket : int
        Hash bucket that the items' names fall into.
    digest : bytes
        Digest of the chunk's content.
    """

    kind: str
    bucket: int
    digest: bytes


class Chunk(Struct, frozen=True, array_like=True):
    """A chunk: its digest and its compressed content."""

    digest: bytes
    packed: bytes


def bucket_of(name: str, buckets: int) -> int:
    """Return the bucket of `name`, from 0 to `buckets` - 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) % buckets


def bucket_count_for(kind: ItemKind, items: int, current: int) -> int:
    """Return how many buckets `items` items need, at least `current`."""
    buckets = max(current, 1)
    while items > buckets * MAX_MEAN_ITEMS_PER_CHUNK[kind]:
        buckets *= 2
    return buckets


def group_by_bucket(
    kind: ItemKind, items: tuple[Item, ...], buckets: int
) -> dict[int, tuple[Item, ...]]:
    """Return the items by bucket, sorted by name within each bucket."""
    filled: dict[int, list[Item]] = {}
    for item in items:
        filled.setdefault(bucket_of(name_of(item), buckets), []).append(item)
    return {
        bucket: tuple(sorted(members, key=name_of))
        for bucket, members in sorted(filled.items())
    }


def encode(items: tuple[Item, ...]) -> bytes:
    """Return the uncompressed content of a chunk of `items`."""
    return msgspec.msgpack.encode(items)


def content_digest(content: bytes) -> bytes:
    """Return the digest of a chunk with `content`."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def pack(items: tuple[Item, ...]) -> Chunk:
    """Return the chunk that holds `items`."""
    content = encode(items)
    return Chunk(content_digest(content), zlib.compress(content, COMPRESSION_LEVEL))


def unpack(chunk: Chunk, kind: ItemKind) -> Result[tuple[Item, ...], str]:
    """Return the items of a chunk.

    Returns an error when the content can't be decoded or does not match the digest.
    """
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(chunk.packed, MAX_CHUNK_BYTES)
    except zlib.error as exc:
        return Err(f"chunk {chunk.digest.hex()} can't be decompressed: {exc}")
    if content_digest(content) != chunk.digest:
        return Err(f"chunk {chunk.digest.hex()}: content does not match the digest")
    try:
        return Ok(msgspec.msgpack.decode(content, type=tuple[kind.item_type, ...]))
    except msgspec.DecodeError as exc:
        return Err(f"chunk {chunk.digest.hex()} can't be decoded: {exc}")
