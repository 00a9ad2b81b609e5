"""Replays load on targets with few slots through placement strategies."""

import random
import statistics
from enum import Enum

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.event_scheduler import EventScheduler
from lacewingpond.replay.placement_strategies import (
    Choice,
    DispatcherStrategy,
    PlacementStrategy,
    PlacerStrategy,
    RandomStrategy,
)
from lacewingpond.replay.simulated_target import SimulatedTarget
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.util.clock import ManualClock

SERVICE = "booking"
SLOTS = 6
# Median processing time of a request.
WORK_S = 0.04
# Standard deviation of the logarithm of the processing time.
WORK_SIGMA = 0.5
DOMAINS = ("a", "b", "c")
CROSS_DOMAIN_DELAY_S = 0.0005
"""One-way delay between failure domains."""
# Requests that arrive before this time are not measured.
WARM_UP_S = 2.0
# Time after the last arrival in which requests complete.
COMPLETION_S = 5.0


class Strategy(Enum):
    """Placement strategies that can be replayed."""

    RANDOM = "random"
    # The daemon's placement without the load that targets report.
    LOCAL = "local"
    # The daemon's placement.
    REPORTED = "reported"
    # One VM per target dispatches all its requests.
    DISPATCHER = "dispatcher"


class PlacementReplayer:
    """Replays the scenario ``placement``."""

    scenario = "placement"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Return the measures of the daemon's placement, or of random choice."""
        strategy = Strategy.RANDOM if variant is Variant.NAIVE else Strategy.REPORTED
        return self.play_strategy(trace, strategy)

    def play_strategy(
        self, trace: Trace, strategy: Strategy, options: PlacementOptions | None = None
    ) -> Measures:
        """Return the measures of one strategy."""
        return _Run(trace, strategy, options or PlacementOptions()).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return (
            _trace("even", "an even load of 85%", seed, 0.85),
            _trace("uneven", "one VM gets 30% of a load of 85%", seed, 0.85, skew=0.3),
            _trace("slow", "a target works 3 times slower", seed, 0.6, slow=3.0),
            _trace("lying", "a target reports no load", seed, 0.7, liars=1),
        )


def _trace(
    name: str, title: str, seed: int, load: float, **params: float
) -> tuple[str, Trace]:
    header = TraceHeader(
        "placement",
        title,
        seed,
        (
            Expectation("p99_ms", below_naive=True),
            Expectation("waited_share", below_naive=True),
        ),
        {
            "vms": 40,
            "targets": 10,
            "seconds": 20,
            "skew": 0.0,
            "liars": 0,
            "slow": 1.0,
            **params,
        },
    )
    events = (TraceEvent(0.0, "load", "", {"share": load}),)
    return f"placement-{name}", Trace(header, events)


class _Run:
    """Replay of one trace with one strategy."""

    def __init__(
        self, trace: Trace, strategy: Strategy, options: PlacementOptions
    ) -> None:
        params = trace.header.params
        self.trace = trace
        self.vms = int(params["vms"])
        self.seconds = float(params["seconds"])
        self.skew = float(params["skew"])
        self.rng = random.Random(trace.header.seed)
        self.clock = ManualClock()
        self.scheduler = EventScheduler(self.clock)
        self.targets = tuple(
            Target(f"t{n}", f"t{n}:80", DOMAINS[n % len(DOMAINS)], SLOTS)
            for n in range(int(params["targets"]))
        )
        self.domain = {t.target_id: t.failure_domain for t in self.targets}
        self.simulated_targets = {
            t.target_id: SimulatedTarget(t.target_id, SLOTS) for t in self.targets
        }
        self.zero_load_targets = {
            t.target_id for t in self.targets[: int(params["liars"])]
        }
        self.strategy = self._build(strategy, options)
        self.slow_factors = {self.targets[-1].target_id: float(params["slow"])}
        self.rate = 0.0
        self.latencies: list[float] = []
        self.waited = 0

    def play(self) -> Measures:
        for event in self.trace.events:
            self.scheduler.after(event.at, lambda event=event: self._set_load(event))
        self.scheduler.after(0.0, self._arrive)
        self.scheduler.run(self.seconds + COMPLETION_S)
        cuts = statistics.quantiles(self.latencies, n=1000)
        return {
            "p50_ms": 1000.0 * cuts[499],
            "p99_ms": 1000.0 * cuts[989],
            "p999_ms": 1000.0 * cuts[998],
            "waited_share": self.waited / len(self.latencies),
        }

    def _build(
        self, strategy: Strategy, options: PlacementOptions
    ) -> PlacementStrategy:
        simulated_targets = list(self.simulated_targets.values())
        if strategy is Strategy.RANDOM:
            return RandomStrategy(simulated_targets, self.rng)
        if strategy is Strategy.DISPATCHER:
            return DispatcherStrategy(simulated_targets, self.rng)
        cfg = Config(services=(Service(SERVICE, self.targets),))
        domains = [self._domain_of(vm) for vm in range(self.vms)]
        uses_reported_load = strategy is Strategy.REPORTED
        return PlacerStrategy(
            cfg, domains, self.clock, self.rng, options, uses_reported_load
        )

    def _domain_of(self, vm: int) -> str:
        return DOMAINS[vm % len(DOMAINS)]

    def _set_load(self, event: TraceEvent) -> None:
        slots = SLOTS * len(self.targets)
        mean_s = WORK_S * 2.718281828 ** (WORK_SIGMA**2 / 2.0)
        self.rate = float(event.fields["share"]) * slots / mean_s

    def _arrive(self) -> None:
        if self.scheduler.now() >= self.seconds:
            return
        self.scheduler.after(self.rng.expovariate(self.rate), self._arrive)
        vm = self.rng.randrange(self.vms)
        if self.rng.random() < self.skew:
            vm = 0
        choice = self.strategy.choose(vm)
        delay_s = choice.delay_s
        if self.domain[choice.target_id] != self._domain_of(vm):
            delay_s += CROSS_DOMAIN_DELAY_S
        arrived = self.scheduler.now()
        self.scheduler.after(
            delay_s, lambda: self._reach_target(choice, arrived, delay_s)
        )

    def _reach_target(self, choice: Choice, arrived: float, delay_s: float) -> None:
        target = self.simulated_targets[choice.target_id]
        self.waited += target.load >= target.slots
        work_s = WORK_S * self.rng.lognormvariate(0.0, WORK_SIGMA)
        work_s *= self.slow_factors.get(target.name, 1.0)

        def start() -> None:
            self.scheduler.after(work_s, finish)

        def finish() -> None:
            target.finish()
            self.scheduler.after(delay_s, lambda: receive_response(float(target.load)))

        def receive_response(load: float) -> None:
            choice.done(0.0 if target.name in self.zero_load_targets else load)
            if arrived >= WARM_UP_S:
                self.latencies.append(self.scheduler.now() - arrived)

        target.submit(start)
