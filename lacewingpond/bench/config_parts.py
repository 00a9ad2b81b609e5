"""Measures what the parts of a daemon spend on one changed item."""

import os
import random
from itertools import cycle

from lacewingpond.bench.config_sample import FULL_WORKSPACES, sample_config
from lacewingpond.bench.series import Point, Series
from lacewingpond.config.changes import Changes
from lacewingpond.config.keys import digest_of
from lacewingpond.config.model import Key, Route, Service, Workspace
from lacewingpond.config.state import ConfigState
from lacewingpond.daemon.daemon import Daemon
from lacewingpond.daemon.surroundings import Surroundings
from lacewingpond.http.options import HttpOptions
from lacewingpond.peers.options import PeerOptions
from lacewingpond.settings.model import (
    OperatorSettings,
    SecretSettings,
    Settings,
    VmSettings,
)
from lacewingpond.store.options import StoreOptions
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.stopwatch import cpu_seconds

SIZES = (5_875, 11_750, 23_500, FULL_WORKSPACES)
REPEATS = 5
UNUSED_STORE = "127.0.0.1:9"


class ConfigPartsBench:
    """Benchmark ``config-parts``."""

    name = "config-parts"
    summary = "processor time of all parts for one changed item"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        costs = [_costs(size, seed) for size in SIZES]
        return tuple(_series(label, costs) for label in _one_changes())


def _series(label: str, costs: list[dict[str, float]]) -> Series:
    points = tuple(
        Point(float(size), cost[label]) for size, cost in zip(SIZES, costs, strict=True)
    )
    return Series(f"one changed {label}", "current", "workspaces", "s", points)


def _costs(size: int, seed: int) -> dict[str, float]:
    daemon = _daemon(seed)
    state = ConfigState.from_config(sample_config(size, random.Random(seed)))
    daemon.fleet.holder.replace(state)
    return {
        label: _cost(daemon, state, changes)
        for label, changes in _one_changes().items()
    }


def _cost(daemon: Daemon, state: ConfigState, changes: Changes) -> float:
    """Return the least time for the change, made and taken back in turn."""
    cfgs = cycle((state.changed(changes, "plan").cfg, state.cfg))
    take = daemon.traffic.take_change
    return cpu_seconds(lambda: take(next(cfgs), changes), repeats=REPEATS)


def _one_changes() -> dict[str, Changes]:
    return {
        "workspace": Changes(workspaces=(Workspace("workspace-00007", 999.0, 999.0),)),
        "key": Changes(keys=(Key("key-00007", "workspace-00008", digest_of("new")),)),
        "route": Changes(routes=(Route("route-0007", "service-007", "/new"),)),
        "service": Changes(services=(Service("service-007"),)),
    }


def _daemon(seed: int) -> Daemon:
    """Return a daemon that isn't started."""
    around = Surroundings(
        clock=RuntimeClock(),
        rng=random.Random(seed),
        log=RecordingDecisionLog(),
        metrics=CountingMetrics(),
        fleet_secret=os.urandom(32),
        operator_token=os.urandom(32).hex().encode(),
    )
    settings = Settings(
        vm=VmSettings("vm-1", "domain-1"),
        store=StoreOptions(address=UNUSED_STORE),
        fleet_secret=SecretSettings(),
        operator_token=SecretSettings(),
        http=HttpOptions(port=0),
        operators=OperatorSettings(port=0),
        peers=PeerOptions(port=0),
    )
    return Daemon.from_settings(settings, around)
