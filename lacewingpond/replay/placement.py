"""Replays a load on targets with few slots through ways of placement."""

import random
import statistics
from enum import Enum

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.replay.agenda import Agenda
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.placement_ways import (
    Choice,
    DispatcherWay,
    PlacementWay,
    PlacerWay,
    RandomWay,
)
from lacewingpond.replay.station import Station
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.util.clock import PausedClock

SERVICE = "booking"
SLOTS = 6
WORK_S = 0.04
WORK_SIGMA = 0.5
DOMAINS = ("a", "b", "c")
DOMAIN_DELAY_S = 0.0005
"""One way between failure domains, in seconds."""
WARM_UP_S = 2.0
DRAIN_S = 5.0


class Way(Enum):
    """Ways of placement that can be replayed."""

    RANDOM = "random"
    LOCAL = "local"
    REPORTED = "reported"
    DISPATCHER = "dispatcher"


class PlacementPlayer:
    """Player of the scenario ``placement``."""

    scenario = "placement"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay by the daemon's placement, or by random choice."""
        way = Way.RANDOM if variant is Variant.NAIVE else Way.REPORTED
        return self.play_way(trace, way)

    def play_way(
        self, trace: Trace, way: Way, options: PlacementOptions | None = None
    ) -> Measures:
        """Replay by one way."""
        return _Run(trace, way, options or PlacementOptions()).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return the scenario's traces by file name."""
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
    """One replay of one trace by one way."""

    def __init__(self, trace: Trace, way: Way, options: PlacementOptions) -> None:
        params = trace.header.params
        self.trace = trace
        self.vms = int(params["vms"])
        self.seconds = float(params["seconds"])
        self.skew = float(params["skew"])
        self.rng = random.Random(trace.header.seed)
        self.clock = PausedClock()
        self.agenda = Agenda(self.clock)
        self.targets = tuple(
            Target(f"t{n}", f"t{n}:80", DOMAINS[n % len(DOMAINS)], SLOTS)
            for n in range(int(params["targets"]))
        )
        self.domain = {t.target_id: t.failure_domain for t in self.targets}
        self.stations = {t.target_id: Station(t.target_id, SLOTS) for t in self.targets}
        self.liars = {t.target_id for t in self.targets[: int(params["liars"])]}
        self.way = self._build(way, options)
        self.slow = {self.targets[-1].target_id: float(params["slow"])}
        self.rate = 0.0
        self.latencies: list[float] = []
        self.waited = 0

    def play(self) -> Measures:
        for event in self.trace.events:
            self.agenda.after(event.at, lambda event=event: self._set_load(event))
        self.agenda.after(0.0, self._arrive)
        self.agenda.run(self.seconds + DRAIN_S)
        cuts = statistics.quantiles(self.latencies, n=1000)
        return {
            "p50_ms": 1000.0 * cuts[499],
            "p99_ms": 1000.0 * cuts[989],
            "p999_ms": 1000.0 * cuts[998],
            "waited_share": self.waited / len(self.latencies),
        }

    def _build(self, way: Way, options: PlacementOptions) -> PlacementWay:
        stations = list(self.stations.values())
        if way is Way.RANDOM:
            return RandomWay(stations, self.rng)
        if way is Way.DISPATCHER:
            return DispatcherWay(stations, self.rng)
        cfg = Config(services=(Service(SERVICE, self.targets),))
        domains = [self._domain_of(vm) for vm in range(self.vms)]
        hears_load = way is Way.REPORTED
        return PlacerWay(cfg, domains, self.clock, self.rng, options, hears_load)

    def _domain_of(self, vm: int) -> str:
        return DOMAINS[vm % len(DOMAINS)]

    def _set_load(self, event: TraceEvent) -> None:
        slots = SLOTS * len(self.targets)
        mean_s = WORK_S * 2.718281828 ** (WORK_SIGMA**2 / 2.0)
        self.rate = float(event.fields["share"]) * slots / mean_s

    def _arrive(self) -> None:
        if self.agenda.now() >= self.seconds:
            return
        self.agenda.after(self.rng.expovariate(self.rate), self._arrive)
        vm = self.rng.randrange(self.vms)
        if self.rng.random() < self.skew:
            vm = 0
        choice = self.way.choose(vm)
        delay_s = choice.delay_s
        if self.domain[choice.target_id] != self._domain_of(vm):
            delay_s += DOMAIN_DELAY_S
        arrived = self.agenda.now()
        self.agenda.after(delay_s, lambda: self._reach(choice, arrived, delay_s))

    def _reach(self, choice: Choice, arrived: float, delay_s: float) -> None:
        station = self.stations[choice.target_id]
        self.waited += station.load >= station.slots
        work_s = WORK_S * self.rng.lognormvariate(0.0, WORK_SIGMA)
        work_s *= self.slow.get(station.name, 1.0)

        def begin() -> None:
            self.agenda.after(work_s, finish)

        def finish() -> None:
            station.finish()
            self.agenda.after(delay_s, lambda: answer(float(station.load)))

        def answer(load: float) -> None:
            choice.done(0.0 if station.name in self.liars else load)
            if arrived >= WARM_UP_S:
                self.latencies.append(self.agenda.now() - arrived)

        station.arrive(begin)
