"""Costs of the shard table and of moves, and store writes after a loss of VMs."""

import random
from collections.abc import Callable

from lacewingpond.bench.series import Point, Series
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_simulation import ShardSimulation, ShardSimulationOptions
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.messages import ShardNews
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.preferred_owners import preferred_owner
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.table import ShardTable
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

SHARD_COUNTS = (128, 256, 512, 1_024, 2_048, 6_144)
FLEET_SIZES = (6, 12, 24, 48)
REGION_VMS = 283
SETTLE_S = 40.0
RECOVERY_S = 60.0
WALL_TIME_S = 1.8e9


class ShardBench:
    """Benchmark ``shards``: costs of one region's table with 128 to 6,144 shards."""

    name = "shards"
    summary = "table size and moves by shards, store writes by lost VMs"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        rng = random.Random(seed)
        by_shards = (
            ("table", "bytes", lambda n: len(_table(n, rng).to_bytes())),
            ("encode and decode", "us", lambda n: _encode_decode_us(n, rng)),
            ("one move", "us", lambda n: _move_us(n, rng)),
            ("group rows by owner", "us", lambda n: _group_us(n, rng)),
            ("look at one ownership", "us", lambda n: _active_ownership_us(n, seed)),
            ("idle round", "us", lambda n: _idle_us(n, seed)),
            ("news of one move", "bytes", lambda n: _news_bytes(n, rng)),
            ("memory", "bytes", lambda n: retained_bytes(lambda: _table(n, rng))),
            ("shards of the fullest VM", "shards", _max_shards_per_vm),
        )
        costs = [_series(*row) for row in by_shards]
        writes = [_loss_series(variant, seed) for variant in Variant]
        return (*costs, *writes)


def _series(name: str, unit: str, measure: Callable[[int], float]) -> Series:
    points = tuple(Point(count, float(measure(count))) for count in SHARD_COUNTS)
    return Series(name, "current", "shards", unit, points)


def _table(shards: int, rng: random.Random) -> ShardTable:
    moves = [
        Move(shard, 0, ProcessId(_vm(rng.randrange(REGION_VMS)), "5f3a9c1e"), True)
        for shard in range(shards)
    ]
    return ShardTable().with_moves(moves, WALL_TIME_S)


def _vm(number: int) -> str:
    return f"vm-{number:08x}"


def _mean_us(call: Callable[[], object], rounds: int = 20) -> float:
    def repeat() -> None:
        for _ in range(rounds):
            call()

    return cpu_seconds(repeat) / rounds * 1e6


def _encode_decode_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    return _mean_us(lambda: ShardTable.from_bytes(table.to_bytes()))


def _move_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    move = Move(0, 1, ProcessId(_vm(1), "5f3a9c1e"), True)
    return _mean_us(lambda: table.with_moves([move], WALL_TIME_S))


def _group_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    return _mean_us(lambda: ShardTable(table.version, table.rows).by_owner())


def _active_ownership_us(shards: int, seed: int) -> float:
    manager = _sole_owner(shards, seed)
    return _mean_us(lambda: manager.active_ownership(0), rounds=1_000)


def _idle_us(shards: int, seed: int) -> float:
    """Return the time in us of one idle step of a VM that owns all shards."""
    return _mean_us(_sole_owner(shards, seed).step)


def _sole_owner(shards: int, seed: int) -> ShardManager:
    options = ShardSimulationOptions(shards=ShardOptions(shard_count=shards))
    simulation = ShardSimulation(options, Variant.CURRENT, seed)
    simulation.start("vm0")
    simulation.run(SETTLE_S)
    return simulation.vms["vm0"].shards


def _news_bytes(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    moved = table.with_moves(
        [Move(0, 1, ProcessId(_vm(1), "5f3a9c1e"), True)], WALL_TIME_S
    )
    rows = moved.changed_after(table.version)
    return _frame_bytes(ShardNews(table.version, moved.version, rows))


def _frame_bytes(message: ShardNews) -> float:
    return float(len(encode(Frame(FrameKind.ONE_WAY, 1, message))))


def _max_shards_per_vm(shards: int) -> float:
    ids = [_vm(number) for number in range(REGION_VMS)]
    shard_counts = dict.fromkeys(ids, 0)
    for shard in range(shards):
        shard_counts[preferred_owner(shard, ids)] += 1
    return float(max(shard_counts.values()))


def _loss_series(variant: Variant, seed: int) -> Series:
    points = tuple(
        Point(size // 3, _writes_after_loss(variant, size, seed))
        for size in FLEET_SIZES
    )
    name = "store writes in the minute after the loss"
    return Series(name, variant.value, "VMs lost", "writes", points)


def _writes_after_loss(variant: Variant, size: int, seed: int) -> float:
    options = ShardSimulationOptions(shards=ShardOptions(shard_count=4 * size))
    simulation = ShardSimulation(options, variant, seed)
    for number in range(size):
        simulation.start(f"vm{number}")
    simulation.run(SETTLE_S)
    simulation.reset_measures()
    for number in range(0, size, options.domains):
        simulation.crash(f"vm{number}")
    simulation.run(RECOVERY_S)
    return float(simulation.store_writes())
