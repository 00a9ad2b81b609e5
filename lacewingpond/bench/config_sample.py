"""Sample configurations of any size, in the proportions expected in two years."""

import random

from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Config, Key, Route, Service, Target, Workspace

FULL_WORKSPACES = 47_000
FULL_ROUTES = 7_000
FULL_SERVICES = 520
TARGETS_PER_SERVICE = 50


def sample_config(workspaces: int, rng: random.Random) -> Config:
    """Return a configuration with `workspaces` workspaces, the rest in proportion.

    Each workspace has one key; the number of targets per service is constant.
    """
    share = workspaces / FULL_WORKSPACES
    services = max(round(FULL_SERVICES * share), 1)
    routes = max(round(FULL_ROUTES * share), 1)
    return Config(
        revision=1,
        workspaces=tuple(_workspace(number, rng) for number in range(workspaces)),
        keys=tuple(_key(number) for number in range(workspaces)),
        services=tuple(_service(number) for number in range(services)),
        routes=tuple(_route(number, number % services) for number in range(routes)),
    )


def _workspace(number: int, rng: random.Random) -> Workspace:
    rate = float(rng.randint(1, 200))
    return Workspace(f"workspace-{number:05}", rate, 2.0 * rate)


def _key(number: int) -> Key:
    digest = key_digest(str(number))
    return Key(f"key-{number:05}", f"workspace-{number:05}", digest)


def _service(number: int) -> Service:
    targets = tuple(_target(number, index) for index in range(TARGETS_PER_SERVICE))
    return Service(f"service-{number:03}", targets)


def _target(service: int, index: int) -> Target:
    address = f"10.{service // 250}.{service % 250}.{index + 1}:8080"
    return Target(f"service-{service:03}-{index}", address, f"domain-{index % 22}")


def _route(number: int, service: int) -> Route:
    return Route(
        f"route-{number:04}",
        f"service-{service:03}",
        f"/tenant-{number % 700}/page-{number}",
        host=f"site-{number % 90}.example",
    )
