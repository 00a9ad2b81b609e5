"""Costs of health digests and of outlier detection."""

import random

import msgspec

from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Service, Target
from lacewingpond.health.messages import (
    HealthDigest,
    ServiceDigest,
    TargetRecord,
    target_hash,
)
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.outlier_detector import OutlierDetector
from lacewingpond.health.tally import Tally
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

REPORTER_COUNTS = (20, 40, 80, 160, 320)
TARGET_COUNTS = (6, 12, 24, 50, 100)
RECORD_COUNTS = (5, 20, 50, 100, 200)
RECORDS_PER_DIGEST = 5
REQUESTS_PER_RECORD = 2
PERIODS = 5
LATENCY_S = 0.03


class HealthBench:
    """Benchmark ``health``: size of digests, time and memory of an outlier detector."""

    name = "health"
    summary = "digests of outcomes and outlier detection of targets"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the outcomes."""
        rng = random.Random(seed)
        return (
            _digest_size_series(rng),
            _individual_size_series(rng),
            _tally_series(rng),
            _period_series(rng),
            _memory_series(rng),
            _idle_period_series(rng),
        )


def _detector(target_count: int) -> OutlierDetector:
    targets = tuple(Target(f"ledger-{n}", f"{n}:80") for n in range(target_count))
    return OutlierDetector(
        Service("ledger", targets),
        HealthOptions(),
        ManualClock(),
        NullDecisionLog(),
        CountingMetrics(),
    )


def _record(rng: random.Random, name: str) -> TargetRecord:
    tally = Tally()
    for _ in range(REQUESTS_PER_RECORD):
        outcome = Outcome.ERROR if rng.random() < 0.02 else Outcome.OK
        tally.add(outcome, LATENCY_S * rng.lognormvariate(0.0, 0.5))
    return TargetRecord(target_hash(name), tally.packed())


def _records(
    rng: random.Random, count: int, target_count: int
) -> tuple[TargetRecord, ...]:
    names = [f"ledger-{n}" for n in range(target_count)]
    return tuple(_record(rng, rng.choice(names)) for _ in range(count))


def _digest_size_series(rng: random.Random) -> Series:
    points = []
    for count in RECORD_COUNTS:
        digest = HealthDigest((ServiceDigest("ledger", _records(rng, count, 50)),))
        points.append(Point(count, float(len(msgspec.msgpack.encode(digest)))))
    return Series("size of a digest", "current", "records", "bytes", tuple(points))


def _individual_size_series(rng: random.Random) -> Series:
    """Return the size of as many outcomes sent one by one with full names."""
    points = []
    for count in RECORD_COUNTS:
        outcomes = [
            (f"ledger-{rng.randrange(50)}", "ok", round(rng.random(), 4))
            for _ in range(count * REQUESTS_PER_RECORD)
        ]
        points.append(Point(count, float(len(msgspec.msgpack.encode(outcomes)))))
    return Series("size of a digest", "one by one", "records", "bytes", tuple(points))


def _tally_series(rng: random.Random) -> Series:
    points = []
    for count in (1000, 2000, 4000, 8000):
        latencies = [LATENCY_S * rng.lognormvariate(0.0, 0.5) for _ in range(count)]

        def count_outcomes(latencies: list[float] = latencies) -> None:
            tally = Tally()
            for latency_s in latencies:
                tally.add(Outcome.OK, latency_s)
            tally.packed()

        points.append(Point(count, cpu_seconds(count_outcomes)))
    return Series("counting outcomes", "current", "requests", "s", tuple(points))


def _period_series(rng: random.Random) -> Series:
    points = []
    for reporters in REPORTER_COUNTS:
        detector = _detector(50)
        digests = [_records(rng, RECORDS_PER_DIGEST, 50) for _ in range(reporters)]

        def run_period(
            detector: OutlierDetector = detector, digests: list = digests
        ) -> None:
            for number, records in enumerate(digests):
                detector.observe(f"vm-{number}", records)
            detector.evaluate()

        points.append(Point(reporters, cpu_seconds(run_period, PERIODS)))
    return Series(
        "one period of a detector of 50 targets", "current", "VMs", "s", tuple(points)
    )


def _memory_series(rng: random.Random) -> Series:
    points = []
    for reporters in REPORTER_COUNTS:
        digests = [
            [_records(rng, RECORDS_PER_DIGEST, 50) for _ in range(reporters)]
            for _ in range(PERIODS)
        ]

        def build(digests: list = digests) -> OutlierDetector:
            detector = _detector(50)
            for period in digests:
                for number, records in enumerate(period):
                    detector.observe(f"vm-{number}", records)
                detector.evaluate()
            return detector

        points.append(Point(reporters, float(retained_bytes(build))))
    return Series(
        "memory of a detector of 50 targets", "current", "VMs", "bytes", tuple(points)
    )


def _idle_period_series(rng: random.Random) -> Series:
    points = []
    for target_count in TARGET_COUNTS:
        detector = _detector(target_count)
        detector.observe("vm-0", _records(rng, RECORDS_PER_DIGEST, target_count))
        detector.evaluate()
        points.append(Point(target_count, cpu_seconds(detector.evaluate, PERIODS)))
    return Series(
        "one period without outcomes", "current", "targets", "s", tuple(points)
    )
