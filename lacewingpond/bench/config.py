"""Costs of the configuration by its size and by the size of the fleet."""

import random
from collections.abc import Callable

from result import Ok, Result

from lacewingpond.bench.config_fleet import ConfigFleet
from lacewingpond.bench.config_sample import FULL_WORKSPACES, sample_config
from lacewingpond.bench.series import Point, Series
from lacewingpond.config.changes import Changes
from lacewingpond.config.chunks import Chunk, ChunkRef
from lacewingpond.config.head import HISTORY_LENGTH, ConfirmedPlan
from lacewingpond.config.model import Config, Workspace
from lacewingpond.config.plan import plan_id_of
from lacewingpond.config.state import ConfigState
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

WORKSPACE_COUNTS = (5_875, 11_750, 23_500, FULL_WORKSPACES)
FLEET_SIZES = (100, 200, 400, 800, 1_700)


class ConfigBench:
    """Benchmark ``config``: costs of storing, loading and distributing a revision."""

    name = "config"
    summary = "size, load, change and distribution of the configuration"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        configs = [
            sample_config(size, random.Random(seed)) for size in WORKSPACE_COUNTS
        ]
        states = [_full_state(cfg) for cfg in configs]
        return (*_state_series(configs, states), *_fleet_series(seed))


def _state_series(
    configs: list[Config], states: list[ConfigState]
) -> tuple[Series, ...]:
    return (
        _size_series("snapshot packed", "current", "bytes", states, _packed_bytes),
        _size_series("head", "current", "bytes", states, _head_bytes),
        _size_series("largest chunk", "current", "bytes", states, _largest_chunk_bytes),
        _size_series("memory of a state", "current", "bytes", states, _memory_bytes),
        _size_series("load of a snapshot", "current", "s", states, _load_s),
        _size_series("apply one change", "current", "s", states, _change_s),
        _size_series("apply one change", "rebuild all", "s", configs, _rebuild_s),
        _size_series(
            "written for one change", "current", "bytes", states, _written_bytes
        ),
        _size_series("written for one change", "whole", "bytes", states, _packed_bytes),
    )


def _fleet_series(seed: int) -> tuple[Series, ...]:
    costs = [ConfigFleet(vms, seed).measure() for vms in FLEET_SIZES]
    fields = (
        ("sent and received while quiet", "idle_bytes_s", "bytes/s"),
        ("processor share while quiet", "idle_cpu_share", "cores"),
        ("sent and received for one change", "change_bytes", "bytes"),
        ("change applied on all VMs", "spread_s", "s"),
        ("store calls while quiet", "store_calls_s", "calls/s"),
        ("store calls for one change", "change_calls", "calls"),
        ("store calls after an outage", "recovery_calls_s", "calls/s"),
    )
    return tuple(
        _fleet_size_series(name, unit, [getattr(cost, field) for cost in costs])
        for name, field, unit in fields
    )


def _fleet_size_series(name: str, unit: str, values: list[float]) -> Series:
    points = tuple(
        Point(float(vms), value) for vms, value in zip(FLEET_SIZES, values, strict=True)
    )
    return Series(name, "current", "VMs", unit, points)


def _size_series(
    name: str,
    variant: str,
    unit: str,
    subjects: list[Config] | list[ConfigState],
    measure: Callable[[Config | ConfigState], float],
) -> Series:
    points = tuple(
        Point(float(size), float(measure(subject)))
        for size, subject in zip(WORKSPACE_COUNTS, subjects, strict=True)
    )
    return Series(name, variant, "workspaces", unit, points)


def _full_state(cfg: Config) -> ConfigState:
    """Return the state of `cfg` with the longest history that a head may hold."""
    history = tuple(
        ConfirmedPlan(number, plan_id_of(number, ()))
        for number in range(HISTORY_LENGTH)
    )
    return ConfigState.from_config(cfg, history)


def _chunks_by_digest(state: ConfigState) -> dict[bytes, Chunk]:
    return {ref.digest: state.chunk(ref) for ref in state.head.chunks}


def _packed_bytes(state: ConfigState) -> int:
    packed = sum(len(chunk.packed) for chunk in _chunks_by_digest(state).values())
    return packed + _head_bytes(state)


def _head_bytes(state: ConfigState) -> int:
    return len(state.head.to_bytes())


def _largest_chunk_bytes(state: ConfigState) -> int:
    return max(len(chunk.packed) for chunk in _chunks_by_digest(state).values())


def _load_call(state: ConfigState) -> Callable[[], ConfigState]:
    chunks = _chunks_by_digest(state)

    def read(refs: tuple[ChunkRef, ...]) -> Result[dict[bytes, Chunk], str]:
        return Ok({ref.digest: _copy_of(chunks[ref.digest]) for ref in refs})

    return lambda: ConfigState.empty().load(state.head, read).unwrap()


def _copy_of(chunk: Chunk) -> Chunk:
    """Return a copy with its own bytes, as if received from a peer or the store."""
    return Chunk(chunk.digest, bytes(bytearray(chunk.packed)))


def _memory_bytes(state: ConfigState) -> int:
    return retained_bytes(_load_call(state))


def _load_s(state: ConfigState) -> float:
    return cpu_seconds(_load_call(state))


def _single_change() -> Changes:
    return Changes(workspaces=(Workspace("workspace-00007", 999.0, 999.0),))


def _change_s(state: ConfigState) -> float:
    return cpu_seconds(lambda: state.with_changes(_single_change(), "plan"), repeats=10)


def _rebuild_s(cfg: Config) -> float:
    return cpu_seconds(lambda: ConfigState.from_config(cfg), repeats=1)


def _written_bytes(state: ConfigState) -> int:
    changed = state.with_changes(_single_change(), "plan")
    refs = state.missing_chunks(changed.head)
    chunks = sum(len(changed.chunk(ref).packed) for ref in refs)
    return chunks + len(changed.head.to_bytes())
