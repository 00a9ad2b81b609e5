"""A revision of the configuration with its chunks."""

from collections.abc import Callable

import gevent
from result import Err, Ok, Result

from lacewingpond.config import chunks
from lacewingpond.config.changes import Changes
from lacewingpond.config.chunks import Chunk, ChunkRef
from lacewingpond.config.head import HISTORY_LENGTH, ConfirmedPlan, Head
from lacewingpond.config.kinds import Item, ItemKind, ItemRef, items_of, name_of
from lacewingpond.config.model import Config

CHUNKS_PER_YIELD = 8
"""Chunks unpacked between two yields to other greenlets."""

# Items of one kind by bucket number.
Buckets = dict[int, tuple[Item, ...]]
# Returns the chunks that the references name, by digest, or an error.
ReadChunks = Callable[[tuple[ChunkRef, ...]], Result[dict[bytes, Chunk], str]]


class ConfigState:
    """An immutable revision: its head, and its items by kind and bucket.

    Attributes
    ----------
    head : Head
        References to the chunks, and the plans confirmed last.
    cfg : Config
        The same items, for use by the rest of the daemon.
    root : bytes
        Digest of the whole revision.
    """

    __slots__ = ("head", "cfg", "root", "_buckets", "_packed")

    def __init__(
        self,
        head: Head,
        buckets: dict[ItemKind, Buckets],
        cfg: Config,
        packed: dict[ChunkRef, Chunk] | None = None,
    ) -> None:
        self.head = head
        self.cfg = cfg
        self.root = head.root()
        self._buckets = buckets
        # Packed chunks are cached. Packing all of them again for each VM that starts
        # would delay the requests that this VM is serving.
        self._packed = packed if packed is not None else {}

    @classmethod
    def empty(cls) -> "ConfigState":
        """Return the state of revision 0, which has no items."""
        return cls(Head(), {kind: {} for kind in ItemKind}, Config())

    @classmethod
    def from_config(
        cls, cfg: Config, history: tuple[ConfirmedPlan, ...] = ()
    ) -> "ConfigState":
        """Return the state of `cfg`, with the confirmed plans `history`."""
        buckets: dict[ItemKind, Buckets] = {}
        counts: dict[str, int] = {}
        refs: list[ChunkRef] = []
        for kind in ItemKind:
            items = items_of(cfg, kind)
            counts[kind.value] = chunks.bucket_count_for(kind, len(items), 1)
            buckets[kind] = chunks.group_by_bucket(kind, items, counts[kind.value])
            refs += [_chunk_ref(kind, *filled) for filled in buckets[kind].items()]
        head = Head(cfg.revision, counts, tuple(sorted(refs)), history)
        return cls(head, buckets, _to_config(cfg.revision, buckets))

    @property
    def revision(self) -> int:
        """Number of the revision."""
        return self.head.revision

    def find(self, kind: ItemKind, name: str) -> Item | None:
        """Return one item, or None."""
        bucket = chunks.bucket_of(name, self.head.buckets.get(kind.value, 1))
        for item in self._buckets[kind].get(bucket, ()):
            if name_of(item) == name:
                return item
        return None

    def with_changes(self, changes: Changes, plan_id: str) -> "ConfigState":
        """Return the next revision, in which the plan `plan_id` made `changes`."""
        revision = self.revision + 1
        history = (*self.head.history, ConfirmedPlan(revision, plan_id))[
            -HISTORY_LENGTH:
        ]
        refs = {(ref.kind, ref.bucket): ref for ref in self.head.chunks}
        counts = dict(self.head.buckets)
        buckets = dict(self._buckets)
        fields: dict[str, tuple[Item, ...]] = {}
        for kind in ItemKind:
            if not changes.touches(kind):
                continue
            touched = self._rewrite_buckets(kind, changes, counts, buckets)
            _update_refs(refs, kind, buckets[kind], touched)
            fields[kind.value] = _flatten(buckets[kind])
        head = Head(
            revision=revision,
            buckets=counts,
            chunks=tuple(refs[key] for key in sorted(refs)),
            history=history,
        )
        cfg = _replace_items(self.cfg, revision, fields)
        return ConfigState(head, buckets, cfg, self._packed_chunks_of(head))

    def chunk(self, ref: ChunkRef) -> Chunk | None:
        """Return a chunk of this revision; None when `ref` is not part of it."""
        cached = self._packed.get(ref)
        if cached is not None:
            return cached
        items = self._buckets[ItemKind(ref.kind)].get(ref.bucket)
        if items is None:
            return None
        chunk = chunks.pack(items)
        if chunk.digest != ref.digest:
            return None
        self._packed[ref] = chunk
        return chunk

    def missing_chunks(self, other: Head) -> tuple[ChunkRef, ...]:
        """Return references to the chunks of `other` that this state lacks."""
        held = set(self.head.chunks)
        return tuple(ref for ref in other.chunks if ref not in held)

    def load(self, head: Head, read_chunks: ReadChunks) -> Result["ConfigState", str]:
        """Return the state of `head`, reading only the chunks that this one lacks."""
        missing = self.missing_chunks(head)
        read = read_chunks(missing)
        if read.is_err():
            return read
        packed = self._packed_chunks_of(head)
        fresh: dict[ChunkRef, tuple[Item, ...]] = {}
        for number, ref in enumerate(missing, start=1):
            items = _unpack(ref, read.ok_value)
            if items.is_err():
                return items
            fresh[ref] = items.ok_value
            packed[ref] = read.ok_value[ref.digest]
            if number % CHUNKS_PER_YIELD == 0:
                # Unpacking all chunks without a yield would delay other requests.
                gevent.sleep(0)
        buckets: dict[ItemKind, Buckets] = {kind: {} for kind in ItemKind}
        for ref in head.chunks:
            kind = ItemKind(ref.kind)
            known = fresh[ref] if ref in fresh else self._buckets[kind][ref.bucket]
            buckets[kind][ref.bucket] = known
        cfg = _to_config(head.revision, buckets)
        return Ok(ConfigState(head, buckets, cfg, packed))

    def changes_to(self, later: "ConfigState") -> Changes:
        """Return the difference to `later`, comparing only chunks that differ."""
        put: list[Item] = []
        removed: list[ItemRef] = []
        for kind in ItemKind:
            old, new = self._differing_items(later, kind)
            put += [item for name, item in new.items() if old.get(name) != item]
            removed += [ItemRef(kind.value, name) for name in old if name not in new]
        return Changes.from_items(tuple(put), tuple(removed))

    def _differing_items(
        self, later: "ConfigState", kind: ItemKind
    ) -> tuple[dict[str, Item], dict[str, Item]]:
        before = {ref for ref in self.head.chunks if ref.kind == kind.value}
        after = {ref for ref in later.head.chunks if ref.kind == kind.value}
        return (
            self._items_by_name(kind, before - after),
            later._items_by_name(kind, after - before),
        )

    def _items_by_name(self, kind: ItemKind, refs: set[ChunkRef]) -> dict[str, Item]:
        buckets = self._buckets[kind]
        return {name_of(item): item for ref in refs for item in buckets[ref.bucket]}

    def _packed_chunks_of(self, head: Head) -> dict[ChunkRef, Chunk]:
        """Return the cached packed chunks that `head` refers to."""
        refs = set(head.chunks)
        return {ref: chunk for ref, chunk in self._packed.items() if ref in refs}

    def _rewrite_buckets(
        self,
        kind: ItemKind,
        changes: Changes,
        counts: dict[str, int],
        buckets: dict[ItemKind, Buckets],
    ) -> set[int]:
        """Apply `changes` of `kind` to `counts` and `buckets`.

        Returns the numbers of the rewritten buckets.
        """
        count = counts.get(kind.value, 1)
        removed = {ref.name for ref in changes.removed if ref.kind == kind.value}
        put = {name_of(item): item for item in items_of(changes, kind)}
        touched = {chunks.bucket_of(name, count) for name in removed | put.keys()}
        filled = dict(self._buckets[kind])
        for bucket in touched:
            members = _update_bucket(
                filled.get(bucket, ()), bucket, count, put, removed
            )
            filled[bucket] = members
        filled = {bucket: members for bucket, members in filled.items() if members}
        total = sum(len(members) for members in filled.values())
        counts[kind.value] = chunks.bucket_count_for(kind, total, count)
        if counts[kind.value] != count:
            filled = chunks.group_by_bucket(kind, _flatten(filled), counts[kind.value])
            touched = set(filled) | set(self._buckets[kind])
        buckets[kind] = dict(sorted(filled.items()))
        return touched


def _unpack(ref: ChunkRef, read: dict[bytes, Chunk]) -> Result[tuple[Item, ...], str]:
    chunk = read.get(ref.digest)
    if chunk is None:
        return Err(f"chunk {ref.digest.hex()} is missing")
    return chunks.unpack(Chunk(ref.digest, chunk.packed), ItemKind(ref.kind))


def _update_bucket(
    members: tuple[Item, ...],
    bucket: int,
    count: int,
    put: dict[str, Item],
    removed: set[str],
) -> tuple[Item, ...]:
    by_name = {name_of(item): item for item in members}
    for name in removed:
        by_name.pop(name, None)
    for name, item in put.items():
        if chunks.bucket_of(name, count) == bucket:
            by_name[name] = item
    return tuple(by_name[name] for name in sorted(by_name))


def _update_refs(
    refs: dict[tuple[str, int], ChunkRef],
    kind: ItemKind,
    filled: Buckets,
    touched: set[int],
) -> None:
    for bucket in touched:
        refs.pop((kind.value, bucket), None)
        if bucket in filled:
            refs[(kind.value, bucket)] = _chunk_ref(kind, bucket, filled[bucket])


def _chunk_ref(kind: ItemKind, bucket: int, items: tuple[Item, ...]) -> ChunkRef:
    return ChunkRef(kind.value, bucket, chunks.content_digest(chunks.encode(items)))


def _flatten(filled: Buckets) -> tuple[Item, ...]:
    return tuple(item for members in filled.values() for item in members)


def _to_config(revision: int, buckets: dict[ItemKind, Buckets]) -> Config:
    fields = {kind.value: _flatten(filled) for kind, filled in buckets.items()}
    return Config(revision=revision, **fields)


def _replace_items(cfg: Config, revision: int, fields: dict[str, tuple]) -> Config:
    kept = {kind.value: items_of(cfg, kind) for kind in ItemKind}
    return Config(revision=revision, **{**kept, **fields})
