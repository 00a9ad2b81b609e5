"""Costs of digests and of the judgement of targets."""

import random

import msgspec

from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Service, Target
from lacewingpond.health.judge import ServiceJudge
from lacewingpond.health.messages import (
    HealthDigest,
    ServiceDigest,
    TargetRecord,
    target_hash,
)
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import PausedClock
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

REPORTER_COUNTS = (20, 40, 80, 160, 320)
TARGET_COUNTS = (6, 12, 24, 50, 100)
RECORD_COUNTS = (5, 20, 50, 100, 200)
RECORDS_PER_DIGEST = 5
REQUESTS_PER_RECORD = 2
PERIODS = 5
LATENCY_S = 0.03


class HealthBench:
    """Bytes of a digest, and processor time and memory of a judge."""

    name = "health"
    summary = "digests of outcomes and the judgement of targets"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with outcomes drawn from `seed`."""
        rng = random.Random(seed)
        return (
            _digest_bytes(rng),
            _plain_bytes(rng),
            _record_time(rng),
            _judge_time(rng),
            _judge_memory(rng),
            _idle_judge_time(rng),
        )


def _judge(target_count: int) -> ServiceJudge:
    targets = tuple(Target(f"ledger-{n}", f"{n}:80") for n in range(target_count))
    return ServiceJudge(
        Service("ledger", targets),
        HealthOptions(),
        PausedClock(),
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


def _digest_bytes(rng: random.Random) -> Series:
    points = []
    for count in RECORD_COUNTS:
        digest = HealthDigest((ServiceDigest("ledger", _records(rng, count, 50)),))
        points.append(Point(count, float(len(msgspec.msgpack.encode(digest)))))
    return Series("size of a digest", "current", "records", "bytes", tuple(points))


def _plain_bytes(rng: random.Random) -> Series:
    """Return the size of the same outcomes sent one by one with full names."""
    points = []
    for count in RECORD_COUNTS:
        outcomes = [
            (f"ledger-{rng.randrange(50)}", "ok", round(rng.random(), 4))
            for _ in range(count * REQUESTS_PER_RECORD)
        ]
        points.append(Point(count, float(len(msgspec.msgpack.encode(outcomes)))))
    return Series("size of a digest", "one by one", "records", "bytes", tuple(points))


def _record_time(rng: random.Random) -> Series:
    points = []
    for count in (1000, 2000, 4000, 8000):
        latencies = [LATENCY_S * rng.lognormvariate(0.0, 0.5) for _ in range(count)]

        def work(latencies: list[float] = latencies) -> None:
            tally = Tally()
            for latency_s in latencies:
                tally.add(Outcome.OK, latency_s)
            tally.packed()

        points.append(Point(count, cpu_seconds(work)))
    return Series("counting outcomes", "current", "requests", "s", tuple(points))


def _judge_time(rng: random.Random) -> Series:
    points = []
    for reporters in REPORTER_COUNTS:
        judge = _judge(50)
        digests = [_records(rng, RECORDS_PER_DIGEST, 50) for _ in range(reporters)]

        def work(judge: ServiceJudge = judge, digests: list = digests) -> None:
            for number, records in enumerate(digests):
                judge.observe(f"vm-{number}", records)
            judge.evaluate()

        points.append(Point(reporters, cpu_seconds(work, PERIODS)))
    return Series(
        "one period of a judge of 50 targets", "current", "VMs", "s", tuple(points)
    )


def _judge_memory(rng: random.Random) -> Series:
    points = []
    for reporters in REPORTER_COUNTS:
        digests = [
            [_records(rng, RECORDS_PER_DIGEST, 50) for _ in range(reporters)]
            for _ in range(PERIODS)
        ]

        def build(digests: list = digests) -> ServiceJudge:
            judge = _judge(50)
            for period in digests:
                for number, records in enumerate(period):
                    judge.observe(f"vm-{number}", records)
                judge.evaluate()
            return judge

        points.append(Point(reporters, float(retained_bytes(build))))
    return Series(
        "memory of a judge of 50 targets", "current", "VMs", "bytes", tuple(points)
    )


def _idle_judge_time(rng: random.Random) -> Series:
    points = []
    for target_count in TARGET_COUNTS:
        judge = _judge(target_count)
        judge.observe("vm-0", _records(rng, RECORDS_PER_DIGEST, target_count))
        judge.evaluate()
        points.append(Point(target_count, cpu_seconds(judge.evaluate, PERIODS)))
    return Series(
        "one period without outcomes", "current", "targets", "s", tuple(points)
    )
