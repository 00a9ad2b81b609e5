"""Decodes the platform's configuration document for the check of a configuration.

It reads the same structs as `config_document`, so that both accept the same types.
"""

from collections.abc import Iterator

import msgspec
from result import Err

from lacewingpond.entry.config_check.form import (
    ConfigForm,
    ListenerForm,
    PartForm,
    Placed,
    RouteForm,
    ServiceForm,
    WorkspaceForm,
)
from lacewingpond.platform import config_document as document
from lacewingpond.platform.lenient_reader import LenientReader
from lacewingpond.util.findings import Finding


def decode_form(raw: bytes) -> ConfigForm:
    """Return the configuration in `raw` as written, with all faults of its form."""
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return ConfigForm(faults=(Finding("", str(exc)),))
    reader = LenientReader()
    read = reader.read(value, document._Document, "")
    workspaces = tuple(
        _workspace(each, f"tenants[{i}]") for i, each in enumerate(read.tenants or ())
    )
    listeners = tuple(
        _listener(reader, each, f"listeners[{i}]")
        for i, each in enumerate(read.listeners)
    )
    services = tuple(
        _service(reader, each, f"clusters[{i}]") for i, each in enumerate(read.clusters)
    )
    limits = read.limits
    if limits is not None:
        reader.read_duration(limits.header_timeout, "limits.header-timeout")
        reader.read_duration(limits.idle_timeout, "limits.idle-timeout")
    strict = document.decode_config(raw)
    if not reader.faults and isinstance(strict, Err):
        reader.faults.append(Finding("", strict.err_value))
    return ConfigForm(
        version=Placed("version", read.version),
        head_bytes=Placed(
            "limits.max-header-bytes", limits.max_header_bytes if limits else None
        ),
        body_bytes=Placed(
            "limits.max-body-bytes", limits.max_body_bytes if limits else None
        ),
        workspaces=workspaces,
        listeners=listeners,
        services=services,
        faults=tuple(reader.faults),
        places=tuple(_places(value)),
    )


def _workspace(tenant: document._Tenant, place: str) -> WorkspaceForm:
    keys = enumerate(tenant.api_keys)
    return WorkspaceForm(
        place=place,
        name=Placed(f"{place}.name", tenant.name),
        keys=tuple(
            Placed(f"{place}.api-keys[{i}]", key) for i, key in keys if key is not None
        ),
        rate=Placed(f"{place}.rate-per-s", tenant.rate_per_s),
        burst=Placed(f"{place}.burst", tenant.burst),
    )


def _listener(
    reader: LenientReader, listener: document._Listener, place: str
) -> ListenerForm:
    rules = enumerate(listener.rules)
    return ListenerForm(
        place=place,
        host=Placed(f"{place}.host", listener.host),
        routes=tuple(_route(reader, rule, f"{place}.rules[{i}]") for i, rule in rules),
    )


def _route(reader: LenientReader, rule: document._Rule, place: str) -> RouteForm:
    def duration(text: str, name: str) -> Placed[float | None]:
        inner = f"{place}.{name}"
        return Placed(inner, reader.read_duration(text or None, inner))

    action = rule.action
    split_place = f"{place}.action.traffic-split"
    parts = tuple(
        _part(part, f"{split_place}[{i}]")
        for i, part in enumerate(action.traffic_split)
    )
    if not parts:
        inner = f"{place}.action.service"
        service: Placed[str | None] = Placed(inner, action.service)
        parts = (PartForm(inner, service, Placed(inner, 1.0)),)
    return RouteForm(
        place=place,
        name=Placed(f"{place}.name", rule.name),
        prefix=Placed(f"{place}.match.prefix", rule.match.prefix),
        split_place=split_place,
        split=parts,
        target_latency_s=duration(rule.target_latency, "target-latency"),
        timeout_s=duration(action.timeout, "action.timeout"),
        max_attempts=Placed(f"{place}.action.max-attempts", action.max_attempts),
        public=rule.public,
    )


def _part(part: document._SplitPart, place: str) -> PartForm:
    return PartForm(
        place,
        Placed(f"{place}.service", part.service),
        Placed(f"{place}.weight", part.weight),
    )


def _service(
    reader: LenientReader, cluster: document._Cluster, place: str
) -> ServiceForm:
    inner = f"{place}.warmup"
    return ServiceForm(
        place=place,
        name=Placed(f"{place}.name", cluster.name),
        warmup_s=Placed(inner, reader.read_duration(cluster.warmup or None, inner)),
        warmup_rate=Placed(f"{place}.warmup-per-s", cluster.warmup_per_s),
    )


def _places(document: object) -> Iterator[str]:
    """Yield the path of each value; without recursion, as nesting may be deep."""
    stack = [("", document)]
    while stack:
        place, value = stack.pop()
        yield place
        inner: list[tuple[str, object]] = []
        if isinstance(value, dict):
            inner = [(f"{place}.{name}".lstrip("."), v) for name, v in value.items()]
        elif isinstance(value, list):
            inner = [(f"{place}[{number}]", v) for number, v in enumerate(value)]
        stack += reversed(inner)
