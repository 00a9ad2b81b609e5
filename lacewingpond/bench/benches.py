"""All benchmarks by name."""

from lacewingpond.bench.base import Bench
from lacewingpond.bench.latency import LatencyBench
from lacewingpond.bench.routing import RoutingBench

BENCHES: dict[str, Bench] = {
    LatencyBench.name: LatencyBench(),
    RoutingBench.name: RoutingBench(),
}
