"""Replays loads through the fleet-wide limits of many VMs."""

import random

import gevent

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.bucket import workspace_bucket
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.memory import MemoryNetwork, MemoryOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.replay.rate_tally import RateTally
from lacewingpond.replay.rate_traces import SHARD_COUNT, rate_traces
from lacewingpond.replay.static_limiter import StaticLimiter
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.shards.part_context import PartContext
from lacewingpond.util.clock import PausedClock

STEP_S = 0.0005
"""Step of the paused clock."""
SETTLE_S = 3.0
"""Time after a take-over that still counts as part of it."""


class RatesPlayer:
    """Plays traces of the scenario ``rates``."""

    __slots__ = ()

    scenario = "rates"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay a trace."""
        return RatesRun(trace, variant).measures()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return the scenario's traces."""
        return rate_traces(seed)


class RatesRun:
    """One replay."""

    def __init__(self, trace: Trace, variant: Variant) -> None:
        params = trace.header.params
        self.rng = random.Random(trace.header.seed)
        self.variant = variant
        self.clock = PausedClock()
        self.start = self.clock.now()
        self.end = float(params["duration_s"])
        self.vms = tuple(f"vm{number}" for number in range(int(params["vms"])))
        self.skew = float(params.get("first_vm_share", 1.0 / len(self.vms)))
        self.dead: set[str] = set()
        self.loads: dict[str, float] = {}
        self.next_arrival: dict[str, float] = {}
        self.take_over: tuple[float, float] | None = None
        faults = MemoryOptions(
            loss=float(params.get("loss", 0.0)),
            min_delay_s=float(params.get("min_delay_s", 0.0004)),
            max_delay_s=float(params.get("max_delay_s", 0.0006)),
        )
        self.network = MemoryNetwork(self.clock, self.rng, faults)
        self.table = FakeShardTable(SHARD_COUNT, self.vms, self.clock)
        self.tallies = self._tallies(trace)
        self.greedy = {e.subject for e in trace.events if e.fields.get("greedy")}
        self.limiters = {vm: self._limiter(vm) for vm in self.vms}
        self._play(trace)

    def measures(self) -> Measures:
        """Return what came of the replay."""
        tallies = self.tallies.values()
        within = [t for t in tallies if t.workspace.name not in self.greedy]
        total = sum(len(t.admitted_at) + t.refused for t in within)
        wrongful = [at for t in within for at in t.wrongful_at]
        begin, end = self.take_over or (float("inf"), float("inf"))
        moving = [at for at in wrongful if begin <= at <= end]
        seconds = end - begin if self.take_over else 0.0
        offered = sum(self.loads[t.workspace.name] for t in within)
        measures = {
            "requests": float(sum(len(t.admitted_at) + t.refused for t in tallies)),
            "refused_within_rate_steady": (len(wrongful) - len(moving))
            / max(total - offered * seconds, 1.0),
            "worst_served_workspace": min(t.served_share() for t in within),
            "admitted_above_any_window": sum(t.excess() for t in tallies),
        }
        if self.take_over:
            measures["refused_within_rate_take_over"] = len(moving) / (
                offered * seconds
            )
        return measures

    def _tallies(self, trace: Trace) -> dict[str, RateTally]:
        workspaces = [
            Workspace(e.subject, float(e.fields["rate"]), float(e.fields["burst"]))
            for e in trace.events
            if e.kind == "workspace"
        ]
        self.cfg = Config(1, tuple(workspaces))
        return {w.name: RateTally(w, self.start) for w in workspaces}

    def _limiter(self, vm: str) -> FleetLimiter | StaticLimiter:
        if self.variant is Variant.NAIVE:
            return StaticLimiter(self.cfg, len(self.vms), self.clock)
        limiter = FleetLimiter.from_options(
            LimitOptions(),
            PartContext.unlogged(
                vm,
                self.clock,
                random.Random(self.rng.random()),
                self.network.channel(vm),
                self.table.view(vm),
            ),
        )
        limiter.configure(self.cfg)
        for shard in self.table.of(vm):
            limiter.adopt(self.table.owners[shard], None)
        return limiter

    def _play(self, trace: Trace) -> None:
        events = list(trace.events)
        while (now := self.clock.now() - self.start) < self.end:
            while events and events[0].at <= now:
                self._apply(events.pop(0))
            self._arrivals(now)
            self.clock.advance(STEP_S)
            self.network.run_due()

    def _apply(self, event: TraceEvent) -> None:
        if event.kind == "load":
            self.loads[event.subject] = float(event.fields["requests_per_s"])
            self.next_arrival.setdefault(event.subject, event.at)
        elif event.kind == "owner_dies":
            self._kill(event.subject)
            self.take_over = (self.clock.now(), self.start + self.end)
        elif event.kind == "take_over":
            self._take_over(event.subject)
            begin = self.take_over[0] if self.take_over else self.clock.now()
            self.take_over = (begin, self.clock.now() + SETTLE_S)

    def _kill(self, dead: str) -> None:
        """Let a VM fall silent; its connections stay open and carry nothing."""
        self.dead.add(dead)
        for vm in self.vms:
            self.network.block(vm, dead)
            self.network.block(dead, vm)

    def _take_over(self, dead: str) -> None:
        if self.variant is Variant.NAIVE:
            return
        living = [vm for vm in self.vms if vm not in self.dead]
        for shard in self.table.of(dead):
            vm = self.rng.choice(living)
            ownership = self.table.move(shard, vm, clean=False)
            self.limiters[vm].adopt(ownership, None)

    def _arrivals(self, now: float) -> None:
        for name, due in self.next_arrival.items():
            while due <= now:
                gevent.spawn(self._request, name, self._entry_vm())
                due += self.rng.expovariate(self.loads[name])
            self.next_arrival[name] = due

    def _entry_vm(self) -> str:
        while True:
            first = self.rng.random() < self.skew
            vm = self.vms[0] if first else self.rng.choice(self.vms[1:])
            if vm not in self.dead:
                return vm

    def _request(self, name: str, vm: str) -> None:
        arrived_at = self.clock.now()
        tally = self.tallies[name]
        was_within = tally.is_within(arrived_at)
        admission = self.limiters[vm].admit((workspace_bucket(name),))
        now = self.clock.now()
        tally.note(admission.admitted, was_within, arrived_at, now)
