"""Validation of a draft: findings and warnings about the items that changed."""

import ipaddress
import math
import re
from collections.abc import Iterator

from lacewingpond.config.draft import Draft
from lacewingpond.config.kinds import Item, ItemKind
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.util.findings import Finding

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MARKER_PATTERN = re.compile(r"[A-Za-z0-9-]+: ?\S.*")
MIN_BURST_REQUESTS = 1.0
MAX_NAMES_SHOWN = 5

# Each pair is the path of a field within its item and the problem with it.
Problems = Iterator[tuple[str, str]]


def find_problems(draft: Draft) -> tuple[Finding, ...]:
    """Return all findings about the items that the intents touch."""
    findings: list[Finding] = []
    for ref in draft.touched():
        kind = ItemKind(ref.kind)
        item = draft.find(kind, ref.name)
        path = draft.path_of(ref)
        found = _check(draft, item) if item else _check_removed(draft, kind, ref.name)
        findings += [
            Finding(_join_path(path, field), problem) for field, problem in found
        ]
    return tuple(findings)


def find_warnings(draft: Draft) -> tuple[Finding, ...]:
    """Return problems of touched services and routes that prevent no confirmation."""
    warnings: list[Finding] = []
    for ref in draft.touched():
        item = draft.find(ItemKind(ref.kind), ref.name)
        found = _warn_service(item) if isinstance(item, Service) else ()
        if isinstance(item, Route):
            found = _warn_route(draft, item)
        path = draft.path_of(ref)
        warnings += [
            Finding(_join_path(path, field), problem) for field, problem in found
        ]
    return tuple(warnings)


def _join_path(path: str, field: str) -> str:
    return f"{path}.{field}" if field else path


def _check(draft: Draft, item: Item) -> Problems:
    match item:
        case Workspace():
            return _check_workspace(item)
        case Key():
            return _check_key(draft, item)
        case Service():
            return _check_service(item)
        case Route():
            return _check_route(draft, item)


def _check_name(field: str, name: str) -> Problems:
    if not NAME_PATTERN.fullmatch(name):
        rule = "1 to 128 letters, digits, '.', '_' or '-', first a letter or digit"
        yield field, f"{name!r} is not a valid name: {rule}"


def _check_limit(rate: float, burst: float, zero_is_no_limit: bool) -> Problems:
    if zero_is_no_limit and rate == 0.0:
        return
    if not (math.isfinite(rate) and rate > 0.0):
        yield "rate", f"a rate of {rate:g} admits no request; it must be above 0"
    if not (math.isfinite(burst) and burst >= MIN_BURST_REQUESTS):
        yield "burst", f"a burst of {burst:g} admits no request; it must be 1 or more"


def _check_workspace(workspace: Workspace) -> Problems:
    yield from _check_name("name", workspace.name)
    yield from _check_limit(workspace.rate, workspace.burst, zero_is_no_limit=False)


def _check_key(draft: Draft, key: Key) -> Problems:
    yield from _check_name("key_id", key.key_id)
    if draft.find(ItemKind.WORKSPACE, key.workspace) is None:
        yield "workspace", f"there is no workspace {key.workspace!r}"
    if not DIGEST_PATTERN.fullmatch(key.digest):
        yield "digest", "is not a lower-case hex SHA-256"
    for other in draft.items(ItemKind.KEY).values():
        if other.digest == key.digest and other.key_id != key.key_id:
            yield "digest", f"key {other.key_id!r} has the same digest"


def _check_service(service: Service) -> Problems:
    yield from _check_name("name", service.name)
    yield from _check_limit(service.rate, service.burst, zero_is_no_limit=True)
    if not 0.0 <= service.floor <= 1.0:
        yield "floor", f"{service.floor:g} is not between 0 and 1"
    if service.connections_per_target < 1:
        yield "connections_per_target", "must be 1 or more"
    if service.not_run_marker and not MARKER_PATTERN.fullmatch(service.not_run_marker):
        yield "not_run_marker", "is not of the form 'Name: value'"
    seen: set[str] = set()
    for number, target in enumerate(service.targets):
        for field, problem in _check_target(target, seen):
            yield f"targets[{number}].{field}", problem
        seen.add(target.target_id)


def _check_target(target: Target, seen: set[str]) -> Problems:
    yield from _check_name("target_id", target.target_id)
    if target.target_id in seen:
        yield "target_id", f"target {target.target_id!r} is listed twice"
    if not _is_address(target.address):
        yield "address", f"{target.address!r} is not an IP address with a port"
    if target.slots < 1:
        yield "slots", "must be 1 or more"


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65_536


def _check_route(draft: Draft, route: Route) -> Problems:
    yield from _check_name("name", route.name)
    yield from _check_limit(route.rate, route.burst, zero_is_no_limit=True)
    if draft.find(ItemKind.SERVICE, route.service) is None:
        yield "service", f"there is no service {route.service!r}"
    if not route.path_prefix.startswith("/"):
        yield "path_prefix", f"{route.path_prefix!r} does not start with '/'"
    if not (math.isfinite(route.timeout_s) and route.timeout_s > 0.0):
        yield "timeout_s", f"{route.timeout_s:g} is not a finite time above 0"
    for number, name in enumerate(route.workspaces):
        if draft.find(ItemKind.WORKSPACE, name) is None:
            yield f"workspaces[{number}]", f"there is no workspace {name!r}"
    yield from _check_overlap(draft, route)


def _check_overlap(draft: Draft, route: Route) -> Problems:
    prefix = route.path_prefix.rstrip("/")
    for other in draft.items(ItemKind.ROUTE).values():
        if other.name == route.name or other.host.lower() != route.host.lower():
            continue
        if other.path_prefix.rstrip("/") != prefix:
            continue
        if not _share_methods(route, other):
            continue
        yield "path_prefix", f"overlaps route {other.name!r}: same host, path, method"


def _share_methods(one: Route, other: Route) -> bool:
    if not one.methods or not other.methods:
        return True
    return not set(one.methods).isdisjoint(other.methods)


def _check_removed(draft: Draft, kind: ItemKind, name: str) -> Problems:
    if kind is ItemKind.SERVICE:
        yield from _check_unused(
            "route",
            [r.name for r in draft.items(ItemKind.ROUTE).values() if r.service == name],
        )
    if kind is ItemKind.WORKSPACE:
        yield from _check_unused(
            "key",
            [
                k.key_id
                for k in draft.items(ItemKind.KEY).values()
                if k.workspace == name
            ],
        )
        yield from _check_unused(
            "route",
            [
                r.name
                for r in draft.items(ItemKind.ROUTE).values()
                if name in r.workspaces
            ],
        )


def _check_unused(label: str, names: list[str]) -> Problems:
    if not names:
        return
    listed = ", ".join(repr(name) for name in names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    yield "", f"still used by {label} {listed}" + (f" and {more} more" * (more > 0))


def _warn_service(service: Service) -> Problems:
    if not service.targets:
        yield "targets", f"service {service.name!r} has no targets"
        return
    slots = sum(target.slots for target in service.targets)
    ready = sum(target.slots for target in service.targets if not target.draining)
    if ready < service.floor * slots:
        share = f"{ready} of {slots} slots"
        yield "floor", f"floor {service.floor:g} is above the capacity left: {share}"
        return
    largest = max(target.slots for target in service.targets)
    if ready - largest < service.floor * slots:
        yield "floor", "no target can be ejected without going below the floor"


def _warn_route(draft: Draft, route: Route) -> Problems:
    if route.open and route.rate == 0.0:
        yield "open", "open to all callers, without a rate limit"
    service = draft.find(ItemKind.SERVICE, route.service)
    if isinstance(service, Service) and not service.targets:
        yield "service", f"service {route.service!r} has no targets"
