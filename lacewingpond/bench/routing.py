"""Costs of route lookup and key lookup as the configuration grows."""

import hashlib
import random
from collections.abc import Callable

from msgspec import Struct

from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Config, Key, Route, Service, Workspace
from lacewingpond.routing.keys import KeyTable
from lacewingpond.routing.path import path_segments
from lacewingpond.routing.routes import RouteTable
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

ROUTE_SIZES = (500, 1_500, 3_500, 7_000)
KEY_SIZES = (6_000, 12_000, 24_000, 47_000)
SERVICES = 520
HOSTS = 40
LOOKUPS = 2_000
SCAN_LOOKUPS = 20
MICROSECONDS = 1e6


class Lookup(Struct, frozen=True):
    """One request to look a route up for."""

    host: str
    path: str


class ScanTable:
    """The simple way: looks through all routes for each request."""

    __slots__ = ("_routes",)

    def __init__(self, cfg: Config) -> None:
        self._routes = [
            (route, path_segments(route.path_prefix).ok()) for route in cfg.routes
        ]

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the route with the longest prefix."""
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
    """The simple way: compares a digest with all of them."""

    __slots__ = ("_keys",)

    def __init__(self, cfg: Config) -> None:
        self._keys = cfg.keys

    def find(self, key: str) -> Key | None:
        """Return what is stored of a key."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return next((known for known in self._keys if known.digest == digest), None)


class RoutingBench:
    """Measures what every request pays to find its route and its key."""

    name = "routing"
    summary = "route and key lookup, and the memory of their tables"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        rng = random.Random(seed)
        return (*_route_series(rng), *_key_series(rng))


def routes_config(count: int, rng: random.Random) -> Config:
    """Return `count` routes over the services, one in five for any host."""
    services = tuple(Service(f"s{n}") for n in range(SERVICES))
    routes = tuple(
        Route(
            name=f"r{n}",
            service=f"s{n % SERVICES}",
            path_prefix=f"/s{n % SERVICES}/v{n % 3}/r{n}",
            host="" if rng.random() < 0.2 else f"h{n % HOSTS}.example",
            methods=("GET", "HEAD") if n % 2 else (),
        )
        for n in range(count)
    )
    return Config(services=services, routes=routes)


def keys_config(count: int) -> Config:
    """Return `count` workspaces with a key each."""
    workspaces = tuple(Workspace(f"w{n}", 10.0, 20.0) for n in range(count))
    keys = tuple(Key(f"k{n}", f"w{n}", _digest(_secret(n))) for n in range(count))
    return Config(workspaces=workspaces, keys=keys)


def _route_series(rng: random.Random) -> tuple[Series, ...]:
    tree, scan, build, memory = [], [], [], []
    for count in ROUTE_SIZES:
        cfg = routes_config(count, rng)
        lookups = [_lookup(rng.choice(cfg.routes)) for _ in range(LOOKUPS)]
        table, simple = RouteTable.from_config(cfg), ScanTable(cfg)
        tree.append(Point(count, _each_us(lookups, table.match)))
        scan.append(Point(count, _each_us(lookups[:SCAN_LOOKUPS], simple.match)))
        seconds = cpu_seconds(lambda cfg=cfg: RouteTable.from_config(cfg))
        build.append(Point(count, seconds * 1e3))
        held = retained_bytes(lambda cfg=cfg: RouteTable.from_config(cfg))
        memory.append(Point(count, held))
    return (
        Series("route lookup", "current", "routes", "us", tuple(tree)),
        Series("route lookup", "linear scan", "routes", "us", tuple(scan)),
        Series("route table build", "current", "routes", "ms", tuple(build)),
        Series("route table memory", "current", "routes", "bytes", tuple(memory)),
    )


def _key_series(rng: random.Random) -> tuple[Series, ...]:
    table_us, scan_us, build, memory, whole = [], [], [], [], []
    for count in KEY_SIZES:
        cfg = keys_config(count)
        secrets = [_secret(rng.randrange(count)) for _ in range(LOOKUPS)]
        table, simple = KeyTable.from_config(cfg), ScanKeys(cfg)
        table_us.append(Point(count, _find_us(secrets, table.find)))
        scan_us.append(Point(count, _find_us(secrets[:SCAN_LOOKUPS], simple.find)))
        seconds = cpu_seconds(lambda cfg=cfg: KeyTable.from_config(cfg))
        build.append(Point(count, seconds * 1e3))
        held = retained_bytes(lambda cfg=cfg: KeyTable.from_config(cfg))
        memory.append(Point(count, held))
        whole.append(Point(count, retained_bytes(lambda n=count: keys_config(n))))
    return (
        Series("key lookup", "current", "keys", "us", tuple(table_us)),
        Series("key lookup", "linear scan", "keys", "us", tuple(scan_us)),
        Series("key table build", "current", "keys", "ms", tuple(build)),
        Series("key table memory", "current", "keys", "bytes", tuple(memory)),
        Series("keys and workspaces", "current", "keys", "bytes", tuple(whole)),
    )


def _lookup(route: Route) -> Lookup:
    return Lookup(route.host or "other.example", f"{route.path_prefix}/7?page=2")


def _each_us(lookups: list[Lookup], match: Callable[..., object]) -> float:
    def all_lookups() -> None:
        for lookup in lookups:
            match(lookup.host, lookup.path, "GET")

    return cpu_seconds(all_lookups) / len(lookups) * MICROSECONDS


def _find_us(secrets: list[str], find: Callable[[str], object]) -> float:
    def all_lookups() -> None:
        for secret in secrets:
            find(secret)

    return cpu_seconds(all_lookups) / len(secrets) * MICROSECONDS


def _secret(number: int) -> str:
    return f"lp_{number:08d}_{'x' * 24}"


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()
