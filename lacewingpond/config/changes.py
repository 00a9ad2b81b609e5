"""The difference between two revisions, by item."""

from collections.abc import Iterator

from msgspec import Struct

from lacewingpond.config.kinds import Item, ItemKind, ItemRef, items_of, ref_of
from lacewingpond.config.model import Key, Route, Service, Workspace


class Changes(Struct, frozen=True, omit_defaults=True):
    """Items put and removed; a put item replaces the one of the same name."""

    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[Key, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    removed: tuple[ItemRef, ...] = ()

    @classmethod
    def from_items(
        cls, put: tuple[Item, ...], removed: tuple[ItemRef, ...]
    ) -> "Changes":
        """Return the changes that put `put` and remove `removed`."""
        by_kind: dict[str, list[Item]] = {kind.value: [] for kind in ItemKind}
        for item in put:
            by_kind[ref_of(item).kind].append(item)
        fields = {field: tuple(items) for field, items in by_kind.items()}
        return cls(**fields, removed=removed)

    def put(self) -> Iterator[Item]:
        """Iterate over all items that are put."""
        yield from self.workspaces
        yield from self.keys
        yield from self.services
        yield from self.routes

    def touches(self, kind: ItemKind) -> bool:
        """Return whether any item of `kind` is put or removed."""
        if items_of(self, kind):
            return True
        return any(ref.kind == kind.value for ref in self.removed)

    @property
    def kinds(self) -> frozenset[ItemKind]:
        """Kinds with at least one item put or removed."""
        return frozenset(kind for kind in ItemKind if self.touches(kind))

    @property
    def size(self) -> int:
        """Number of items put or removed."""
        return sum(1 for _ in self.put()) + len(self.removed)
