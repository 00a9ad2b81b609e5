"""Processor time that all components of a daemon use to apply one changed item."""

import os
import random
from itertools import cycle

from lacewingpond.bench.config_sample import FULL_WORKSPACES, sample_config
from lacewingpond.bench.series import Point, Series
from lacewingpond.config.changes import Changes
from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Key, Route, Service, Workspace
from lacewingpond.config.state import ConfigState
from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.daemon import StandaloneDaemon
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
from lacewingpond.util.resource_usage import cpu_seconds

WORKSPACE_COUNTS = (5_875, 11_750, 23_500, FULL_WORKSPACES)
REPEATS = 5
UNUSED_STORE_ADDRESS = "127.0.0.1:9"


class ConfigPartsBench:
    """Benchmark ``config-parts``: time to apply one changed item, by its kind."""

    name = "config-parts"
    summary = "processor time of all components for one changed item"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        costs = [_costs_by_kind(size, seed) for size in WORKSPACE_COUNTS]
        return tuple(_series(label, costs) for label in _single_changes())


def _series(label: str, costs: list[dict[str, float]]) -> Series:
    points = tuple(
        Point(float(size), cost[label])
        for size, cost in zip(WORKSPACE_COUNTS, costs, strict=True)
    )
    return Series(f"one changed {label}", "current", "workspaces", "s", points)


def _costs_by_kind(size: int, seed: int) -> dict[str, float]:
    daemon = _daemon(seed)
    state = ConfigState.from_config(sample_config(size, random.Random(seed)))
    daemon.fleet.holder.replace(state)
    return {
        label: _apply_s(daemon, state, changes)
        for label, changes in _single_changes().items()
    }


def _apply_s(daemon: StandaloneDaemon, state: ConfigState, changes: Changes) -> float:
    """Return the least time in s to apply the change or to revert it, in turn."""
    cfgs = cycle((state.with_changes(changes, "plan").cfg, state.cfg))
    apply_revision = daemon.traffic.apply_revision
    return cpu_seconds(lambda: apply_revision(next(cfgs), changes), repeats=REPEATS)


def _single_changes() -> dict[str, Changes]:
    return {
        "workspace": Changes(workspaces=(Workspace("workspace-00007", 999.0, 999.0),)),
        "key": Changes(keys=(Key("key-00007", "workspace-00008", key_digest("new")),)),
        "route": Changes(routes=(Route("route-0007", "service-007", "/new"),)),
        "service": Changes(services=(Service("service-007"),)),
    }


def _daemon(seed: int) -> StandaloneDaemon:
    """Return a daemon that is not started and never calls its store."""
    context = DaemonContext(
        clock=RuntimeClock(),
        rng=random.Random(seed),
        log=RecordingDecisionLog(),
        metrics=CountingMetrics(),
        fleet_secret=os.urandom(32),
        operator_token=os.urandom(32).hex().encode(),
    )
    settings = Settings(
        vm=VmSettings("vm-1", "domain-1"),
        store=StoreOptions(address=UNUSED_STORE_ADDRESS),
        fleet_secret=SecretSettings(),
        operator_token=SecretSettings(),
        http=HttpOptions(port=0),
        operators=OperatorSettings(port=0),
        peers=PeerOptions(port=0),
    )
    return StandaloneDaemon.from_settings(settings, context)
