"""Changes in a form for operators."""

from collections.abc import Callable, Iterator
from enum import Enum

import msgspec
from msgspec import Struct

from lacewingpond.config.changes import Changes
from lacewingpond.config.kinds import Item, ItemKind, kind_of, name_of, ref_of

HIDDEN_FIELDS = frozenset({"digest"})


class Action(Enum):
    """What happens to an item."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


class DiffLine(Struct, frozen=True):
    """Change of one item by a plan.

    Parameters
    ----------
    action : Action
        Whether the item is added, changed or removed.
    kind, name : str
        Kind, in the singular, and name of the item.
    fields : tuple of str
        For a changed item, ``field: before -> after`` for each field that differs.
    """

    action: Action
    kind: str
    name: str
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        line = f"{self.action.value} {self.kind} {self.name}"
        return f"{line} ({'; '.join(self.fields)})" if self.fields else line


FindItem = Callable[[ItemKind, str], Item | None]


def diff_lines(find_before: FindItem, changes: Changes) -> tuple[DiffLine, ...]:
    """Return one line per item in `changes`.

    Parameters
    ----------
    find_before : callable
        Returns an item of the base revision, or None.
    changes : Changes
        Items put and removed.
    """
    return tuple(_lines(find_before, changes))


def _lines(find_before: FindItem, changes: Changes) -> Iterator[DiffLine]:
    for item in changes.put():
        yield _put_line(find_before(kind_of(item), name_of(item)), item)
    for ref in changes.removed:
        yield DiffLine(Action.REMOVE, ItemKind(ref.kind).label, ref.name)


def _put_line(before: Item | None, after: Item) -> DiffLine:
    ref = ref_of(after)
    label = ItemKind(ref.kind).label
    if before is None:
        return DiffLine(Action.ADD, label, ref.name)
    return DiffLine(Action.CHANGE, label, ref.name, _field_lines(before, after))


def _field_lines(before: Item, after: Item) -> tuple[str, ...]:
    old = msgspec.structs.asdict(before)
    new = msgspec.structs.asdict(after)
    lines = []
    for field in old:
        if old[field] == new[field]:
            continue
        if field in HIDDEN_FIELDS:
            lines.append(f"{field}: changed")
        elif field == "targets":
            lines += _target_lines(old[field], new[field])
        else:
            lines.append(f"{field}: {_to_json(old[field])} -> {_to_json(new[field])}")
    return tuple(lines)


def _target_lines(old: tuple, new: tuple) -> list[str]:
    before = {target.target_id: target for target in old}
    after = {target.target_id: target for target in new}
    lines = [f"target {name} added" for name in after if name not in before]
    lines += [f"target {name} removed" for name in before if name not in after]
    for name in before.keys() & after.keys():
        if before[name] != after[name]:
            state = " (draining)" if after[name].draining else ""
            lines.append(f"target {name} changed{state}")
    return sorted(lines)


def _to_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
