"""All benchmarks by name."""

from lacewingpond.bench.base import Bench

BENCHES: dict[str, Bench] = {}
