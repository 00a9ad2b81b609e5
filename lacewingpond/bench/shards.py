"""Costs of the shard table, of moves and of the store's writes."""

import random
from collections.abc import Callable

from lacewingpond.bench.series import Point, Series
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_world import ShardWorld, WorldOptions
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.messages import ShardNews
from lacewingpond.shards.move import Move
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import preferred_owner
from lacewingpond.shards.process import ProcessId
from lacewingpond.shards.table import ShardTable
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

SHARD_COUNTS = (128, 256, 512, 1_024, 2_048, 6_144)
FLEET_SIZES = (6, 12, 24, 48)
VMS_OF_REGION = 283
SETTLED_S = 40.0
RECOVERED_S = 60.0
WALL = 1.8e9


class ShardBench:
    """Costs of one region's table with 128 to 6,144 shards."""

    name = "shards"
    summary = "table size and moves by shards, store writes by lost VMs"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        rng = random.Random(seed)
        by_shards = (
            ("table", "bytes", lambda n: len(_table(n, rng).to_bytes())),
            ("encode and decode", "us", lambda n: _codec_us(n, rng)),
            ("one move", "us", lambda n: _move_us(n, rng)),
            ("group rows by owner", "us", lambda n: _group_us(n, rng)),
            ("look at one ownership", "us", lambda n: _owned_us(n, seed)),
            ("idle round", "us", lambda n: _idle_us(n, seed)),
            ("news of one move", "bytes", lambda n: _news_bytes(n, rng)),
            ("memory", "bytes", lambda n: retained_bytes(lambda: _table(n, rng))),
            ("shards of the fullest VM", "shards", _fullest),
        )
        costs = [_series(*row) for row in by_shards]
        writes = [_losses(variant, seed) for variant in Variant]
        return (*costs, *writes)


def _series(name: str, unit: str, measure: Callable[[int], float]) -> Series:
    points = tuple(Point(count, float(measure(count))) for count in SHARD_COUNTS)
    return Series(name, "current", "shards", unit, points)


def _table(shards: int, rng: random.Random) -> ShardTable:
    moves = [
        Move(shard, 0, ProcessId(_vm(rng.randrange(VMS_OF_REGION)), "5f3a9c1e"), True)
        for shard in range(shards)
    ]
    return ShardTable().moved(moves, WALL)


def _vm(number: int) -> str:
    return f"vm-{number:08x}"


def _us(call: Callable[[], object], rounds: int = 20) -> float:
    def repeat() -> None:
        for _ in range(rounds):
            call()

    return cpu_seconds(repeat) / rounds * 1e6


def _codec_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    return _us(lambda: ShardTable.from_bytes(table.to_bytes()))


def _move_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    move = Move(0, 1, ProcessId(_vm(1), "5f3a9c1e"), True)
    return _us(lambda: table.moved([move], WALL))


def _group_us(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    return _us(lambda: ShardTable(table.version, table.rows).by_owner())


def _owned_us(shards: int, seed: int) -> float:
    manager = _single(shards, seed)
    return _us(lambda: manager.owned(0), rounds=1_000)


def _idle_us(shards: int, seed: int) -> float:
    """Return the cost of a round of a VM that owns all shards."""
    return _us(_single(shards, seed).step)


def _single(shards: int, seed: int) -> ShardManager:
    options = WorldOptions(shards=ShardOptions(shard_count=shards))
    world = ShardWorld(options, Variant.CURRENT, seed)
    world.start("vm0")
    world.run(SETTLED_S)
    return world.vms["vm0"].shards


def _news_bytes(shards: int, rng: random.Random) -> float:
    table = _table(shards, rng)
    moved = table.moved([Move(0, 1, ProcessId(_vm(1), "5f3a9c1e"), True)], WALL)
    rows = moved.changed_after(table.version)
    return _size(ShardNews(table.version, moved.version, rows))


def _size(message: ShardNews) -> float:
    return float(len(encode(Frame(FrameKind.ONE_WAY, 1, message))))


def _fullest(shards: int) -> float:
    ids = [_vm(number) for number in range(VMS_OF_REGION)]
    held = dict.fromkeys(ids, 0)
    for shard in range(shards):
        held[preferred_owner(shard, ids)] += 1
    return float(max(held.values()))


def _losses(variant: Variant, seed: int) -> Series:
    points = tuple(
        Point(size // 3, _writes_at_loss(variant, size, seed)) for size in FLEET_SIZES
    )
    name = "store writes in the minute after the loss"
    return Series(name, variant.value, "VMs lost", "writes", points)


def _writes_at_loss(variant: Variant, size: int, seed: int) -> float:
    options = WorldOptions(shards=ShardOptions(shard_count=4 * size))
    world = ShardWorld(options, variant, seed)
    for number in range(size):
        world.start(f"vm{number}")
    world.run(SETTLED_S)
    world.begin_measures()
    for number in range(0, size, options.domains):
        world.crash(f"vm{number}")
    world.run(RECOVERED_S)
    return float(world.store_writes())
