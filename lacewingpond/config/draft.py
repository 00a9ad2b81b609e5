"""Working copy of a configuration to which intents are applied."""

import msgspec

from lacewingpond.config.changes import Changes
from lacewingpond.config.intents import (
    AddTarget,
    DrainTarget,
    GrantKey,
    Intent,
    PutRoute,
    PutService,
    PutWorkspace,
    RemoveRoute,
    RemoveService,
    RemoveTarget,
    RemoveWorkspace,
    SetRate,
    WithdrawKey,
)
from lacewingpond.config.kinds import Item, ItemKind, ItemRef, items_of, name_of, ref_of
from lacewingpond.config.model import Config, Service, Target
from lacewingpond.util.findings import Finding

_REMOVED_KIND = {
    RemoveWorkspace: ItemKind.WORKSPACE,
    RemoveService: ItemKind.SERVICE,
    RemoveRoute: ItemKind.ROUTE,
}
_LIMITED_KIND = {
    "workspace": ItemKind.WORKSPACE,
    "service": ItemKind.SERVICE,
    "route": ItemKind.ROUTE,
}


class Draft:
    """A configuration to which intents are applied in order.

    Parameters
    ----------
    cfg : Config
        The configuration that the intents change.

    Attributes
    ----------
    findings : list of Finding
        Problems of intents that could not be applied.
    """

    __slots__ = ("_cfg", "_base", "_items", "_paths", "_set_at", "findings")

    def __init__(self, cfg: Config) -> None:
        self._cfg = cfg
        self._base: dict[ItemKind, dict[str, Item]] = {}
        self._items: dict[ItemKind, dict[str, Item]] = {}
        self._paths: dict[ItemRef, str] = {}
        self._set_at: dict[ItemRef, str] = {}
        self.findings: list[Finding] = []

    @classmethod
    def from_intents(cls, cfg: Config, intents: tuple[Intent, ...]) -> "Draft":
        """Return `cfg` with each intent applied that can be."""
        draft = cls(cfg)
        for number, intent in enumerate(intents):
            draft.apply(intent, f"intents[{number}]")
        return draft

    def items(self, kind: ItemKind) -> dict[str, Item]:
        """Return the items of `kind` by name, with the intents applied."""
        if kind not in self._items:
            base = {name_of(item): item for item in items_of(self._cfg, kind)}
            self._base[kind] = base
            self._items[kind] = dict(base)
        return self._items[kind]

    def find(self, kind: ItemKind, name: str) -> Item | None:
        """Return one item, or None, with the intents applied."""
        return self.items(kind).get(name)

    def find_before(self, kind: ItemKind, name: str) -> Item | None:
        """Return one item of the base configuration, or None."""
        self.items(kind)
        return self._base[kind].get(name)

    def touched(self) -> tuple[ItemRef, ...]:
        """Return references to all items that intents put, changed or removed."""
        return tuple(self._paths)

    def path_of(self, ref: ItemRef) -> str:
        """Return the path, within the intents, of the last change of the item `ref`."""
        return self._paths[ref]

    def changes(self) -> Changes:
        """Return the difference to the base configuration."""
        put: list[Item] = []
        removed: list[ItemRef] = []
        for ref in sorted(self._paths):
            kind = ItemKind(ref.kind)
            item = self.find(kind, ref.name)
            before = self.find_before(kind, ref.name)
            if item is None and before is not None:
                removed.append(ref)
            elif item is not None and item != before:
                put.append(item)
        return Changes.from_items(tuple(put), tuple(removed))

    def apply(self, intent: Intent, path: str) -> None:
        """Apply one intent; a problem that prevents it is added to `findings`."""
        match intent:
            case PutWorkspace(workspace):
                self._put_once(workspace, f"{path}.workspace")
            case PutService(service):
                self._put_once(service, f"{path}.service")
            case PutRoute(route):
                self._put_once(route, f"{path}.route")
            case GrantKey():
                self._grant_key(intent, f"{path}.key")
            case RemoveWorkspace(name) | RemoveService(name) | RemoveRoute(name):
                self._remove(_REMOVED_KIND[type(intent)], name, f"{path}.name")
            case WithdrawKey(key_id):
                self._remove(ItemKind.KEY, key_id, f"{path}.key_id")
            case AddTarget():
                self._add_target(intent, path)
            case RemoveTarget():
                self._remove_target(intent, path)
            case DrainTarget():
                self._drain_target(intent, path)
            case SetRate():
                self._set_rate(intent, path)

    def _add_finding(self, path: str, problem: str) -> None:
        self.findings.append(Finding(path, problem))

    def _put_once(self, item: Item, path: str) -> None:
        """Put a whole item; a finding if an earlier intent put or removed it whole."""
        ref = ref_of(item)
        if ref in self._set_at:
            label = ItemKind(ref.kind).label
            problem = f"{label} {ref.name!r} is already set by {self._set_at[ref]}"
            self._add_finding(path, problem)
            return
        self._set_at[ref] = path
        self._put(item, path)

    def _put(self, item: Item, path: str) -> None:
        ref = ref_of(item)
        self.items(ItemKind(ref.kind))[ref.name] = item
        self._paths[ref] = path

    def _grant_key(self, intent: GrantKey, path: str) -> None:
        held = self.find(ItemKind.KEY, intent.key.key_id)
        if held is not None and held != intent.key:
            # Logs name keys by id, so an id must not change its meaning.
            problem = f"key {intent.key.key_id!r} already exists; withdraw it first"
            self._add_finding(f"{path}.key_id", problem)
            return
        self._put_once(intent.key, path)

    def _remove(self, kind: ItemKind, name: str, path: str) -> None:
        if self.items(kind).pop(name, None) is None:
            self._add_finding(path, f"there is no {kind.label} {name!r}")
            return
        ref = ItemRef(kind.value, name)
        self._set_at.setdefault(ref, path)
        self._paths[ref] = path

    def _find_service(self, name: str, path: str) -> Service | None:
        service = self.find(ItemKind.SERVICE, name)
        if service is None:
            self._add_finding(f"{path}.service", f"there is no service {name!r}")
        return service

    def _find_target(
        self, service: Service, target_id: str, path: str
    ) -> Target | None:
        for target in service.targets:
            if target.target_id == target_id:
                return target
        problem = f"service {service.name!r} has no target {target_id!r}"
        self._add_finding(f"{path}.target_id", problem)
        return None

    def _add_target(self, intent: AddTarget, path: str) -> None:
        service = self._find_service(intent.service, path)
        if service is None:
            return
        targets = (*service.targets, intent.target)
        self._put(msgspec.structs.replace(service, targets=targets), f"{path}.target")

    def _remove_target(self, intent: RemoveTarget, path: str) -> None:
        service = self._find_service(intent.service, path)
        if service is None:
            return
        target = self._find_target(service, intent.target_id, path)
        if target is None:
            return
        targets = tuple(kept for kept in service.targets if kept is not target)
        self._put(msgspec.structs.replace(service, targets=targets), path)

    def _drain_target(self, intent: DrainTarget, path: str) -> None:
        service = self._find_service(intent.service, path)
        if service is None:
            return
        target = self._find_target(service, intent.target_id, path)
        if target is None:
            return
        drained = msgspec.structs.replace(target, draining=intent.draining)
        targets = tuple(drained if kept is target else kept for kept in service.targets)
        self._put(msgspec.structs.replace(service, targets=targets), path)

    def _set_rate(self, intent: SetRate, path: str) -> None:
        item = self.find(_LIMITED_KIND[intent.of], intent.name)
        if item is None:
            problem = f"there is no {intent.of} {intent.name!r}"
            self._add_finding(f"{path}.name", problem)
            return
        changed = msgspec.structs.replace(item, rate=intent.rate, burst=intent.burst)
        self._put(changed, path)
