"""Costs of route lookup and key lookup by the size of the configuration."""

import hashlib
import random
from collections.abc import Callable

from msgspec import Struct

from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Config, Key, Route, Service, Workspace
from lacewingpond.routing.keys import KeyTable
from lacewingpond.routing.path import path_segments
from lacewingpond.routing.routes import RouteTable
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

ROUTE_SIZES = (500, 1_500, 3_500, 7_000)
KEY_SIZES = (6_000, 12_000, 24_000, 47_000)
SERVICE_COUNT = 520
HOST_COUNT = 40
LOOKUPS = 2_000
SCAN_LOOKUPS = 20
US_PER_S = 1e6


class Lookup(Struct, frozen=True):
    """Host and path of a request."""

    host: str
    path: str


class ScanTable:
    """Linear scan of all routes, to compare `RouteTable` with.

    Parameters
    ----------
    cfg : Config
        Configuration with the routes.
    """

    __slots__ = ("_routes",)

    def __init__(self, cfg: Config) -> None:
        self._routes = [
            (route, path_segments(route.path_prefix).ok()) for route in cfg.routes
        ]

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the best matching route, or None.

        A route for the host precedes one for any host; among these, the longest
        matching path prefix wins.
        """
        segments = path_segments(path).ok()
        best, best_rank = None, (False, -1)
        for route, prefix in self._routes:
            if route.host not in ("", host) or segments[: len(prefix)] != prefix:
                continue
            rank = (route.host != "", len(prefix))
            if rank > best_rank and (not route.methods or method in route.methods):
                best, best_rank = route, rank
        return best


class ScanKeys:
    """Linear scan of all keys, to compare `KeyTable` with.

    Parameters
    ----------
    cfg : Config
        Configuration with the keys.
    """

    __slots__ = ("_keys",)

    def __init__(self, cfg: Config) -> None:
        self._keys = cfg.keys

    def find(self, key: str) -> Key | None:
        """Return the stored key with the digest of `key`, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return next((known for known in self._keys if known.digest == digest), None)


class RoutingBench:
    """Benchmark ``routing``: lookups of a request's route and key, and their tables."""

    name = "routing"
    summary = "route and key lookup, and the memory of their tables"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        rng = random.Random(seed)
        return (*_route_series(rng), *_key_series(rng))


def routes_config(count: int, rng: random.Random) -> Config:
    """Return `count` routes to `SERVICE_COUNT` services, about 1 in 5 for any host."""
    services = tuple(Service(f"s{n}") for n in range(SERVICE_COUNT))
    routes = tuple(
        Route(
            name=f"r{n}",
            service=f"s{n % SERVICE_COUNT}",
            path_prefix=f"/s{n % SERVICE_COUNT}/v{n % 3}/r{n}",
            host="" if rng.random() < 0.2 else f"h{n % HOST_COUNT}.example",
            methods=("GET", "HEAD") if n % 2 else (),
        )
        for n in range(count)
    )
    return Config(services=services, routes=routes)


def keys_config(count: int) -> Config:
    """Return `count` workspaces with one key each."""
    workspaces = tuple(Workspace(f"w{n}", 10.0, 20.0) for n in range(count))
    keys = tuple(Key(f"k{n}", f"w{n}", _digest(_secret(n))) for n in range(count))
    return Config(workspaces=workspaces, keys=keys)


def _route_series(rng: random.Random) -> tuple[Series, ...]:
    table_us, scan_us, build_ms, memory_bytes = [], [], [], []
    for count in ROUTE_SIZES:
        cfg = routes_config(count, rng)
        lookups = [_lookup(rng.choice(cfg.routes)) for _ in range(LOOKUPS)]
        table, scan = RouteTable.from_config(cfg), ScanTable(cfg)
        table_us.append(Point(count, _match_us(lookups, table.match)))
        scan_us.append(Point(count, _match_us(lookups[:SCAN_LOOKUPS], scan.match)))
        seconds = cpu_seconds(lambda cfg=cfg: RouteTable.from_config(cfg))
        build_ms.append(Point(count, seconds * 1e3))
        held = retained_bytes(lambda cfg=cfg: RouteTable.from_config(cfg))
        memory_bytes.append(Point(count, held))
    return (
        Series("route lookup", "current", "routes", "us", tuple(table_us)),
        Series("route lookup", "linear scan", "routes", "us", tuple(scan_us)),
        Series("route table build", "current", "routes", "ms", tuple(build_ms)),
        Series("route table memory", "current", "routes", "bytes", tuple(memory_bytes)),
    )


def _key_series(rng: random.Random) -> tuple[Series, ...]:
    table_us, scan_us, build_ms, memory_bytes, config_bytes = (
        [],
        [],
        [],
        [],
        [],
    )
    for count in KEY_SIZES:
        cfg = keys_config(count)
        secrets = [_secret(rng.randrange(count)) for _ in range(LOOKUPS)]
        table, scan = KeyTable.from_config(cfg), ScanKeys(cfg)
        table_us.append(Point(count, _find_us(secrets, table.find)))
        scan_us.append(Point(count, _find_us(secrets[:SCAN_LOOKUPS], scan.find)))
        seconds = cpu_seconds(lambda cfg=cfg: KeyTable.from_config(cfg))
        build_ms.append(Point(count, seconds * 1e3))
        held = retained_bytes(lambda cfg=cfg: KeyTable.from_config(cfg))
        memory_bytes.append(Point(count, held))
        config_bytes.append(
            Point(count, retained_bytes(lambda n=count: keys_config(n)))
        )
    return (
        Series("key lookup", "current", "keys", "us", tuple(table_us)),
        Series("key lookup", "linear scan", "keys", "us", tuple(scan_us)),
        Series("key table build", "current", "keys", "ms", tuple(build_ms)),
        Series("key table memory", "current", "keys", "bytes", tuple(memory_bytes)),
        Series("keys and workspaces", "current", "keys", "bytes", tuple(config_bytes)),
    )


def _lookup(route: Route) -> Lookup:
    return Lookup(route.host or "other.example", f"{route.path_prefix}/7?page=2")


def _match_us(lookups: list[Lookup], match: Callable[..., object]) -> float:
    def all_lookups() -> None:
        for lookup in lookups:
            match(lookup.host, lookup.path, "GET")

    return cpu_seconds(all_lookups) / len(lookups) * US_PER_S


def _find_us(secrets: list[str], find: Callable[[str], object]) -> float:
    def all_lookups() -> None:
        for secret in secrets:
            find(secret)

    return cpu_seconds(all_lookups) / len(secrets) * US_PER_S


def _secret(number: int) -> str:
    return f"lp_{number:08d}_{'x' * 24}"


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()
