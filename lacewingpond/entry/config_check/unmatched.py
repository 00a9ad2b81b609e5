"""Warnings: entries that no request can ever match or use."""

import re
from collections.abc import Iterator

from lacewingpond.entry.config_check.definitions import has_only_zero_weights
from lacewingpond.entry.config_check.finding import ConfigFinding, warning
from lacewingpond.entry.config_check.form import ConfigForm, ListenerForm

_HOST = re.compile(r"[0-9A-Za-z._~\-]+|\[[0-9A-Fa-f:.]+\]")
"""Hosts that `lacewingpond.http.head` accepts; it removes the port."""


def check_unmatched(form: ConfigForm) -> Iterator[ConfigFinding]:
    """Yield a warning for each entry of `form` that has no effect."""
    yield from _listeners(form.listeners)
    yield from _replaced_rules(form.listeners)
    yield from _unused_parts(form)
    yield from _unrouted_services(form)
    yield from _keyless_workspaces(form)


def _listeners(listeners: tuple[ListenerForm, ...]) -> Iterator[ConfigFinding]:
    spellings: dict[str, tuple[str, str]] = {}
    for listener in listeners:
        host, place = listener.host.value, listener.host.place
        if not listener.routes:
            yield warning(listener.place, "the listener has no rules")
        if host is None:
            continue
        if not host:
            problem = "only HTTP/1.0 requests without a Host header match an empty host"
            yield warning(place, problem)
        elif not _HOST.fullmatch(host):
            yield warning(place, f"no request can carry the host {host!r}")
        other, other_place = spellings.setdefault(host.lower(), (host, place))
        if other != host:
            problem = f"host {host!r} differs from that at {other_place} only in case"
            yield warning(place, f"{problem}; both are the same host")


def _replaced_rules(listeners: tuple[ListenerForm, ...]) -> Iterator[ConfigFinding]:
    # EntryConfig.route uses the last of several rules with an equal host and prefix.
    last: dict[tuple[str, str], str] = {}
    for listener in reversed(listeners):
        for route in reversed(listener.routes):
            host, prefix = listener.host.value, route.prefix.value
            if host is None or prefix is None:
                continue
            winner = last.setdefault((host.lower(), prefix), route.place)
            if winner != route.place:
                problem = f"never matches; {winner} has the same host and prefix"
                yield warning(route.place, f"{problem} and takes precedence")


def _unused_parts(form: ConfigForm) -> Iterator[ConfigFinding]:
    for route in form.routes():
        if has_only_zero_weights(route):  # reported as an error of the whole split
            continue
        for part in route.split:
            if part.weight.value == 0:
                yield warning(part.place, "a part of weight 0 gets no requests")


def _unrouted_services(form: ConfigForm) -> Iterator[ConfigFinding]:
    routed = {part.service.value for route in form.routes() for part in route.split}
    if None in routed:  # a reference that can't be decoded may lead to any service
        return
    for service in form.services:
        if service.name.value is not None and service.name.value not in routed:
            problem = f"no route leads to service {service.name.value!r}"
            yield warning(service.place, problem)


def _keyless_workspaces(form: ConfigForm) -> Iterator[ConfigFinding]:
    if any(route.public for route in form.routes()):
        return
    for workspace in form.workspaces:
        if not workspace.keys:
            problem = "the workspace has no keys and no route is public"
            yield warning(workspace.place, problem)
