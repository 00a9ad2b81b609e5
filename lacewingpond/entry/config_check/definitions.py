"""Errors: names that are used twice or not defined, and values out of range."""

from collections.abc import Iterable, Iterator

from lacewingpond.entry.config_check.finding import ConfigFinding, error
from lacewingpond.entry.config_check.form import ConfigForm, Placed, RouteForm


def check_definitions(form: ConfigForm) -> Iterator[ConfigFinding]:
    """Yield the errors of the names, references and values in `form`."""
    routes = form.routes()
    yield from _duplicates("route", [route.name for route in routes])
    yield from _duplicates("service", [service.name for service in form.services])
    yield from _duplicates("workspace", [each.name for each in form.workspaces])
    yield from _undefined_services(form)
    yield from _shared_keys(form)
    for route in routes:
        yield from _route_values(route)


def _duplicates(
    kind: str, names: Iterable[Placed[str | None]]
) -> Iterator[ConfigFinding]:
    first: dict[str, str] = {}
    for name in names:
        if name.value is None:
            continue
        place = first.setdefault(name.value, name.place)
        if place != name.place:
            problem = f"{kind} name {name.value!r} is already used at {place}"
            yield error(name.place, problem)


def _undefined_services(form: ConfigForm) -> Iterator[ConfigFinding]:
    defined = {service.name.value for service in form.services}
    if None in defined:  # a name that can't be decoded may be the one referred to
        return
    for route in form.routes():
        for part in route.split:
            if part.service.value == "":
                yield error(part.service.place, "the route names no service")
            elif part.service.value not in (defined | {None}):
                problem = f"service {part.service.value!r} is not defined"
                yield error(part.service.place, problem)


def _shared_keys(form: ConfigForm) -> Iterator[ConfigFinding]:
    first: dict[str, tuple[str, str]] = {}
    for workspace in form.workspaces:
        for key in workspace.keys:
            owner, place = first.setdefault(key.value, (workspace.place, key.place))
            if owner != workspace.place:
                problem = f"another workspace has the same key, at {place}"
                yield error(key.place, problem)


def _route_values(route: RouteForm) -> Iterator[ConfigFinding]:
    prefix = route.prefix
    if prefix.value is not None and not _is_prefix(prefix.value):
        problem = f"prefix {prefix.value!r} does not begin and end with a slash"
        yield error(prefix.place, problem)
    if route.max_attempts.value < 1:
        problem = f"{route.max_attempts.value} attempts; at least 1 is needed"
        yield error(route.max_attempts.place, problem)
    for part in route.split:
        if part.weight.value is not None and part.weight.value < 0:
            problem = f"weight {part.weight.value:g} is negative"
            yield error(part.weight.place, problem)
    if has_only_zero_weights(route):
        yield error(route.split_place, "all weights of the traffic split are 0")


def has_only_zero_weights(route: RouteForm) -> bool:
    """Return whether no part of the route's traffic split gets any request."""
    return all(part.weight.value == 0 for part in route.split)


def _is_prefix(text: str) -> bool:
    return text.startswith("/") and text.endswith("/")
