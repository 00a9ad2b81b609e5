"""Differences between two versions of a configuration."""

from collections.abc import Iterator, Mapping

from msgspec import Struct

from lacewingpond.entry.config_check.finding import ConfigFinding, difference, error
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.route import WeightedService
from lacewingpond.entry.model.workspace import EntryWorkspace

KEYS_FIELD = "keys"


def check_version(before: EntryConfig, after: EntryConfig) -> Iterator[ConfigFinding]:
    """Yield an error unless the version of `after` is above that of `before`."""
    if after.version <= before.version:
        problem = f"version {after.version} is not above {before.version}"
        yield error("version", f"{problem}, the version in force")


def differences(before: EntryConfig, after: EntryConfig) -> Iterator[ConfigFinding]:
    """Yield what differs in `after`; keys are counted and never named."""
    yield from _fields("limits", before.limits, after.limits)
    if before.has_workspaces != after.has_workspaces:
        now = "are now needed" if after.has_workspaces else "are no longer needed"
        yield difference("workspaces", f"keys {now}")
    yield from _entries("workspaces", before.workspaces, after.workspaces)
    yield from _entries(
        "routes",
        {route.name: route for route in before.routes},
        {route.name: route for route in after.routes},
    )
    yield from _entries("services", before.services, after.services)


def _entries(
    kind: str, before: Mapping[str, Struct], after: Mapping[str, Struct]
) -> Iterator[ConfigFinding]:
    for name, entry in after.items():
        place = f"{kind}.{name}"
        if name not in before:
            yield difference(place, f"added{_key_count(entry)}")
        else:
            yield from _fields(place, before[name], entry)
    for name, entry in before.items():
        if name not in after:
            yield difference(f"{kind}.{name}", f"removed{_key_count(entry)}")


def _key_count(entry: Struct) -> str:
    return f" with {len(entry.keys)} keys" if isinstance(entry, EntryWorkspace) else ""


def _fields(place: str, before: Struct, after: Struct) -> Iterator[ConfigFinding]:
    for name in before.__struct_fields__:
        old, new = getattr(before, name), getattr(after, name)
        if name == KEYS_FIELD:
            added, withdrawn = len({*new} - {*old}), len({*old} - {*new})
            if added or withdrawn:
                problem = f"{added} added, {withdrawn} withdrawn"
                yield difference(f"{place}.{name}", problem)
        elif old != new:
            problem = f"changed from {_shown(old)} to {_shown(new)}"
            yield difference(f"{place}.{name}", problem)


def _shown(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(_shown(part) for part in value)
    if isinstance(value, WeightedService):
        return f"{value.service} {value.weight:g}"
    return f"{value:g}" if isinstance(value, float) else str(value)
