"""Item kinds of a configuration, and references to items."""

from enum import Enum

from msgspec import Struct

from lacewingpond.config.model import Key, Route, Service, Workspace

Item = Workspace | Key | Service | Route


class ItemKind(Enum):
    """Kind of an item; the value is the field of `Config` that holds it."""

    WORKSPACE = "workspaces"
    KEY = "keys"
    SERVICE = "services"
    ROUTE = "routes"

    @property
    def label(self) -> str:
        """Singular name of the kind, for messages."""
        return self.value[:-1]

    @property
    def item_type(self) -> type[Item]:
        """Class of the items."""
        return _TYPES[self]


ALL_KINDS = frozenset(ItemKind)

_TYPES: dict[ItemKind, type[Item]] = {
    ItemKind.WORKSPACE: Workspace,
    ItemKind.KEY: Key,
    ItemKind.SERVICE: Service,
    ItemKind.ROUTE: Route,
}
_KINDS = {item_type: kind for kind, item_type in _TYPES.items()}


class ItemRef(Struct, frozen=True, array_like=True, order=True):
    """Reference to one item by kind and name.

    Parameters
    ----------
    kind : str
        Value of an `ItemKind`.
    name : str
        Name of the item, unique within its kind.
    """

    kind: str
    name: str


def kind_of(item: Item) -> ItemKind:
    """Return the kind of `item`."""
    return _KINDS[type(item)]


def name_of(item: Item) -> str:
    """Return the unique name of `item` within its kind."""
    return item.key_id if isinstance(item, Key) else item.name


def ref_of(item: Item) -> ItemRef:
    """Return the reference to `item`."""
    return ItemRef(kind_of(item).value, name_of(item))


def items_of(holder: Struct, kind: ItemKind) -> tuple[Item, ...]:
    """Return all items of `kind` in a `Config` or in `Changes`."""
    return getattr(holder, kind.value)
