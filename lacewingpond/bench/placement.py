"""Costs of picking a target and of the queue of a service."""

import random

from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.verdict import HEALTHY, Verdict
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import Placer
from lacewingpond.queues.adaptive_limit import AdaptiveLimit
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.service_queue import ServiceQueue
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

TARGET_COUNTS = (6, 25, 50, 100)
SERVICE_COUNTS = (40, 130, 260, 520)
WORKSPACE_COUNTS = (1, 16, 64, 250)
TARGETS_PER_SERVICE = 50
PICKS = 2000


class PlacementBench:
    """Benchmark ``placement``: time of picks and of the queue, memory of the placer."""

    name = "placement"
    summary = "choice of a target and the queue in front of a service"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the picks."""
        return (
            _pick_series(seed, PlacementOptions(), "current"),
            _pick_series(seed, PlacementOptions(subset_size=10**6), "all targets"),
            _configure_series(seed),
            _memory_series(seed),
            _queue_series(),
        )


class _AllHealthy:
    __slots__ = ()

    def verdict(self, service: str, target_id: str) -> Verdict:
        return HEALTHY


def _config(services: int, targets: int) -> Config:
    return Config(
        services=tuple(
            Service(
                f"s{number}",
                tuple(
                    Target(f"s{number}-{n}", f"{n}:80", f"fd{n % 4}")
                    for n in range(targets)
                ),
            )
            for number in range(services)
        )
    )


def _placer(seed: int, cfg: Config, options: PlacementOptions) -> Placer:
    placer = Placer.from_options(
        options,
        "vm-1",
        "fd1",
        ManualClock(),
        random.Random(seed),
        _AllHealthy(),
        NullDecisionLog(),
        CountingMetrics(),
    )
    placer.configure(cfg)
    return placer


def _pick_series(seed: int, options: PlacementOptions, variant: str) -> Series:
    points = []
    for count in TARGET_COUNTS:
        placer = _placer(seed, _config(1, count), options)

        def pick_many(placer: Placer = placer) -> None:
            for _ in range(PICKS):
                placer.pick("s0").unwrap().done(1.0)

        points.append(Point(count, cpu_seconds(pick_many) / PICKS))
    return Series("one pick", variant, "targets", "s", tuple(points))


def _configure_series(seed: int) -> Series:
    points = []
    for count in SERVICE_COUNTS:
        cfg = _config(count, TARGETS_PER_SERVICE)
        cost = cpu_seconds(lambda cfg=cfg: _placer(seed, cfg, PlacementOptions()))
        points.append(Point(count, cost))
    return Series(
        "first configuration, 50 targets each",
        "current",
        "services",
        "s",
        tuple(points),
    )


def _memory_series(seed: int) -> Series:
    points = []
    for count in SERVICE_COUNTS:
        cfg = _config(count, TARGETS_PER_SERVICE)
        size = retained_bytes(lambda cfg=cfg: _placer(seed, cfg, PlacementOptions()))
        points.append(Point(count, float(size)))
    return Series(
        "memory without the configuration",
        "current",
        "services",
        "bytes",
        tuple(points),
    )


def _queue_series() -> Series:
    points = []
    for count in WORKSPACE_COUNTS:
        cost = cpu_seconds(lambda count=count: _use_full_queue(count))
        points.append(Point(count, cost / PICKS))
    return Series(
        "one request through a full queue", "current", "workspaces", "s", tuple(points)
    )


def _use_full_queue(workspaces: int) -> None:
    clock = ManualClock()
    options = QueueOptions(first_limit=1, min_limit=1, max_limit=1)
    limit = AdaptiveLimit(options)
    queue = ServiceQueue(options, FairOrder(lambda name: 1.0), limit, clock)
    deadline = clock.now() + 1e6
    tickets = [queue.offer("w0", deadline)]
    for number in range(options.max_waiting):
        tickets.append(queue.offer(f"w{number % workspaces}", deadline))
    running = tickets.pop(0)
    for number in range(PICKS):
        running.result.unwrap().release(Outcome.OK, 0.01)
        running = next(t for t in tickets if t.result is not None)
        tickets.remove(running)
        tickets.append(queue.offer(f"w{number % workspaces}", deadline))
