"""All benchmarks by name."""

from lacewingpond.bench.base import Bench
from lacewingpond.bench.health import HealthBench
from lacewingpond.bench.placement import PlacementBench

BENCHES: dict[str, Bench] = {
    HealthBench.name: HealthBench(),
    PlacementBench.name: PlacementBench(),
}
