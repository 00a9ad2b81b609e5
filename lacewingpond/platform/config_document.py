"""Decodes the platform's configuration document."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field
from result import Err, Ok, Result

from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.route import EntryRoute, WeightedService
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.util.duration import parse_duration

IDEMPOTENT_KIND = "idempotent"


class _Limits(Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Tenant(Struct, rename="kebab"):
    """A workspace, which the platform calls a tenant."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _SplitPart(Struct):
    service: str
    weight: float


class _Action(Struct, rename="kebab"):
    service: str = ""
    traffic_split: tuple[_SplitPart, ...] = ()
    timeout: str = ""
    max_attempts: int = 1


class _Match(Struct):
    prefix: str


class _Rule(Struct, rename="kebab"):
    name: str
    match: _Match
    action: _Action
    kind: str = ""
    target_latency: str = ""
    priority: int = 0
    public: bool = False


class _Listener(Struct):
    host: str
    rules: tuple[_Rule, ...] = ()


class _Cluster(Struct, rename="kebab"):
    """A service, which the platform calls a cluster; it lists no targets."""

    name: str
    health_path: str = "/health"
    max_conns: int = 360
    warmup: str = ""
    warmup_per_s: float = 0.0


class _Document(Struct):
    # With a larger one, no later version could be told to peers.
    version: Annotated[int, Meta(le=2**63 - 1)]
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None
    listeners: tuple[_Listener, ...] = ()
    clusters: tuple[_Cluster, ...] = field(default_factory=tuple)


def decode_config(raw: bytes) -> Result[EntryConfig, str]:
    """Return the configuration in `raw`, or why it can't be decoded."""
    try:
        document = msgspec.json.decode(raw, type=_Document)
        return Ok(_to_config(document))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(str(exc))


def _to_config(document: _Document) -> EntryConfig:
    tenants = document.tenants or ()
    return EntryConfig(
        version=document.version,
        limits=_to_limits(document.limits),
        has_workspaces=document.tenants is not None,
        routes=tuple(
            _to_route(listener.host, rule)
            for listener in document.listeners
            for rule in listener.rules
        ),
        services={
            cluster.name: EntryService(
                cluster.name,
                cluster.health_path,
                cluster.max_conns,
                _duration_or(cluster.warmup, 0.0),
                cluster.warmup_per_s,
            )
            for cluster in document.clusters
        },
        workspaces={
            tenant.name: EntryWorkspace(
                tenant.name,
                tenant.api_keys,
                tenant.priority,
                tenant.rate_per_s,
                tenant.burst,
            )
            for tenant in tenants
        },
    )


def _to_limits(limits: _Limits | None) -> CallerLimits:
    if limits is None:
        return CallerLimits()
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        parse_duration(limits.header_timeout),
        parse_duration(limits.idle_timeout),
    )


def _to_route(host: str, rule: _Rule) -> EntryRoute:
    action = rule.action
    parts = action.traffic_split or (_SplitPart(action.service, 1.0),)
    return EntryRoute(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        split=tuple(WeightedService(part.service, part.weight) for part in parts),
        idempotent=rule.kind == IDEMPOTENT_KIND,
        public=rule.public,
        priority=rule.priority,
        target_latency_s=_duration_or(rule.target_latency, 2.0),
        timeout_s=_duration_or(action.timeout, float("inf")),
        max_attempts=max(action.max_attempts, 1),
    )


def _duration_or(text: str, default_s: float) -> float:
    return parse_duration(text) if text else default_s
