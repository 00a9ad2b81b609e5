"""Replays VMs that share targets with few slots through concurrency limits."""

import random
import statistics
from enum import Enum

import gevent
from gevent.event import Event

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.outcome import Outcome
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.queues.adaptive_limit import AdaptiveLimit
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.service_queue import ServiceQueue
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.placement_strategies import PlacerStrategy
from lacewingpond.replay.simulated_target import SimulatedTarget
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.util.clock import ManualClock

SERVICE = "gallery"
SLOTS = 6
TARGETS = 6
MAX_WAITING_PER_TARGET = 6
# Median processing time of a request.
WORK_S = 0.04
# Standard deviation of the logarithm of the processing time.
WORK_SIGMA = 0.5
# Mean processing time that follows from the two.
MEAN_WORK_S = 0.0453
DEADLINE_S = 1.0
# Requests that arrive before this time are not measured.
WARM_UP_S = 5.0


class Limit(Enum):
    """Concurrency limits that can be replayed."""

    ADAPTIVE = "adaptive"
    SHARE = "share"
    """The VM's equal share of all slots, at least one."""
    NONE = "none"


class ConcurrencyReplayer:
    """Replays the scenario ``concurrency``."""

    scenario = "concurrency"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Return the measures of the adaptive limit, or of shares of the slots."""
        limit = Limit.SHARE if variant is Variant.NAIVE else Limit.ADAPTIVE
        return self.play_limit(trace, limit)

    def play_limit(
        self, trace: Trace, limit: Limit, options: QueueOptions | None = None
    ) -> Measures:
        """Return the measures of one limit."""
        return _Run(trace, limit, options or QueueOptions()).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        loss = TraceEvent(10.0, "slots", "", {"slots": 3, "seconds": 8.0})
        return (
            _trace("even", "an even load of 70%", seed),
            _trace("uneven", "one VM gets 30% of a load of 70%", seed, skew=0.3),
            _trace("loss", "half of the slots are gone for 8 s", seed, loss, skew=0.3),
        )


def _trace(
    name: str, title: str, seed: int, *events: TraceEvent, skew: float = 0.0
) -> tuple[str, Trace]:
    expect = ()
    if skew:
        expect = (Expectation("lost_share", below_naive=True),)
    if skew and not events:
        expect += (Expectation("refused_share", at_most=0.001),)
    params = {"vms": 40, "seconds": 30, "load": 0.7, "skew": skew}
    header = TraceHeader("concurrency", title, seed, expect, params)
    return f"concurrency-{name}", Trace(header, events)


class _Run:
    """Replay of one trace with one limit; each request is a greenlet."""

    def __init__(self, trace: Trace, limit: Limit, options: QueueOptions) -> None:
        params = trace.header.params
        self.trace = trace
        self.seconds = float(params["seconds"])
        self.skew = float(params["skew"])
        self.rate = float(params["load"]) * SLOTS * TARGETS / MEAN_WORK_S
        self.rng = random.Random(trace.header.seed)
        self.clock = ManualClock()
        self.start = self.clock.now()
        targets = tuple(Target(f"t{n}", f"t{n}:80", "a", SLOTS) for n in range(TARGETS))
        self.simulated_targets = {
            t.target_id: SimulatedTarget(t.target_id, SLOTS, MAX_WAITING_PER_TARGET)
            for t in targets
        }
        vms = int(params["vms"])
        cfg = Config(services=(Service(SERVICE, targets),))
        self.strategy = PlacerStrategy(
            cfg,
            ["a"] * vms,
            self.clock,
            self.rng,
            PlacementOptions(),
            uses_reported_load=True,
        )
        limit_options = _options_for(limit, options, vms)
        self.queues = [
            ServiceQueue(
                limit_options,
                FairOrder(_equal_weight),
                AdaptiveLimit(limit_options),
                self.clock,
            )
            for _ in range(vms)
        ]
        self.sent = 0
        self.refused = 0
        self.shed = 0
        self.latencies: list[float] = []

    def play(self) -> Measures:
        loops = [gevent.spawn(self._arrivals), gevent.spawn(self._sweep)]
        loops += [gevent.spawn(self._apply, event) for event in self.trace.events]
        self.clock.advance(self.seconds + 3.0 * DEADLINE_S)
        gevent.killall(loops)
        served = sum(latency <= DEADLINE_S for latency in self.latencies)
        return {
            "lost_share": (self.sent - served) / self.sent,
            "refused_share": self.refused / self.sent,
            "shed_share": self.shed / self.sent,
            "p50_ms": 1000.0 * statistics.median(self.latencies),
            "p99_ms": 1000.0 * statistics.quantiles(self.latencies, n=100)[98],
        }

    def _apply(self, event: TraceEvent) -> None:
        self.clock.sleep(event.at)
        for target in self.simulated_targets.values():
            target.slots = int(event.fields["slots"])
        self.clock.sleep(float(event.fields["seconds"]))
        for target in self.simulated_targets.values():
            target.slots = SLOTS

    def _sweep(self) -> None:
        while True:
            self.clock.sleep(QueueOptions().sweep_s)
            for queue in self.queues:
                if len(queue):
                    queue.expire()

    def _arrivals(self) -> None:
        while self.clock.now() < self.start + self.seconds:
            self.clock.sleep(self.rng.expovariate(self.rate))
            vm = self.rng.randrange(len(self.queues))
            if self.rng.random() < self.skew:
                vm = 0
            gevent.spawn(self._request, vm)

    def _request(self, vm: int) -> None:
        arrived = self.clock.now()
        is_measured = arrived >= self.start + WARM_UP_S
        self.sent += is_measured
        result = self.queues[vm].offer("w", arrived + DEADLINE_S).wait()
        if result.is_err():
            self.refused += is_measured
            return
        outcome, latency_s = self._send(vm)
        result.ok_value.release(outcome, latency_s)
        if outcome is Outcome.SHED:
            self.shed += is_measured
        elif is_measured:
            self.latencies.append(self.clock.now() - arrived)

    def _send(self, vm: int) -> tuple[Outcome, float]:
        sent = self.clock.now()
        choice = self.strategy.choose(vm)
        target = self.simulated_targets[choice.target_id]
        started = Event()
        if not target.submit(started.set):
            choice.done(float(target.load))
            return Outcome.SHED, self.clock.now() - sent
        started.wait()
        self.clock.sleep(WORK_S * self.rng.lognormvariate(0.0, WORK_SIGMA))
        target.finish()
        choice.done(float(target.load))
        return Outcome.OK, self.clock.now() - sent


def _options_for(limit: Limit, options: QueueOptions, vms: int) -> QueueOptions:
    if limit is Limit.ADAPTIVE:
        return options
    size = 1000.0
    if limit is Limit.SHARE:
        size = max(1.0, float(SLOTS * TARGETS // vms))
    return QueueOptions(first_limit=size, min_limit=size, max_limit=size)


def _equal_weight(workspace: str) -> float:
    return 1.0
