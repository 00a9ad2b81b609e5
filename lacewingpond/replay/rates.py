"""Replays loads through the fleet-wide limits of many VMs."""

import random

import gevent

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.bucket import workspace_bucket
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.replay.rate_tally import RateTally
from lacewingpond.replay.rate_traces import SHARD_COUNT, rate_traces
from lacewingpond.replay.static_limiter import StaticLimiter
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.clock import ManualClock

STEP_S = 0.0005
"""Step of the manual clock."""
TAKEOVER_SETTLE_S = 3.0
"""Time after a takeover that still counts as part of it."""


class RatesReplayer:
    """Replays the scenario ``rates``."""

    __slots__ = ()

    scenario = "rates"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return its measures."""
        return RateRun(trace, variant).measures()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return rate_traces(seed)


class RateRun:
    """Replay of one trace with one variant; each request is a greenlet.

    Parameters
    ----------
    trace : Trace
        Trace of the scenario ``rates``.
    variant : Variant
        `Variant.NAIVE` uses `StaticLimiter` in place of `FleetLimiter`.
    """

    def __init__(self, trace: Trace, variant: Variant) -> None:
        params = trace.header.params
        self.rng = random.Random(trace.header.seed)
        self.variant = variant
        self.clock = ManualClock()
        self.start = self.clock.now()
        self.end = float(params["duration_s"])
        self.vms = tuple(f"vm{number}" for number in range(int(params["vms"])))
        self.first_vm_share = float(params.get("first_vm_share", 1.0 / len(self.vms)))
        self.unreachable: set[str] = set()
        self.loads: dict[str, float] = {}
        self.next_arrival: dict[str, float] = {}
        self.takeover_period: tuple[float, float] | None = None
        faults = MemoryNetworkOptions(
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
        """Return the measures of the replay."""
        tallies = self.tallies.values()
        compliant = [t for t in tallies if t.workspace.name not in self.greedy]
        total = sum(len(t.admitted_at) + t.refused for t in compliant)
        wrongly_refused = [at for t in compliant for at in t.wrongly_refused_at]
        begin, end = self.takeover_period or (float("inf"), float("inf"))
        during_takeover = [at for at in wrongly_refused if begin <= at <= end]
        seconds = end - begin if self.takeover_period else 0.0
        offered = sum(self.loads[t.workspace.name] for t in compliant)
        measures = {
            "requests": float(sum(len(t.admitted_at) + t.refused for t in tallies)),
            "refused_within_rate_steady": (len(wrongly_refused) - len(during_takeover))
            / max(total - offered * seconds, 1.0),
            "worst_served_workspace": min(t.served_share() for t in compliant),
            "admitted_above_any_window": sum(t.excess() for t in tallies),
        }
        if self.takeover_period:
            measures["refused_within_rate_take_over"] = len(during_takeover) / (
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
            ComponentContext.unlogged(
                vm,
                self.clock,
                random.Random(self.rng.random()),
                self.network.channel(vm),
                self.table.view(vm),
            ),
        )
        limiter.configure(self.cfg)
        for shard in self.table.shards_of(vm):
            limiter.acquire(self.table.owners[shard], None)
        return limiter

    def _play(self, trace: Trace) -> None:
        events = list(trace.events)
        while (now := self.clock.now() - self.start) < self.end:
            while events and events[0].at <= now:
                self._apply(events.pop(0))
            self._start_requests(now)
            self.clock.advance(STEP_S)
            self.network.run_due()

    def _apply(self, event: TraceEvent) -> None:
        if event.kind == "load":
            self.loads[event.subject] = float(event.fields["requests_per_s"])
            self.next_arrival.setdefault(event.subject, event.at)
        elif event.kind == "owner_dies":
            self._disconnect(event.subject)
            self.takeover_period = (self.clock.now(), self.start + self.end)
        elif event.kind == "take_over":
            self._replace_vm(event.subject)
            begin = (
                self.takeover_period[0] if self.takeover_period else self.clock.now()
            )
            self.takeover_period = (begin, self.clock.now() + TAKEOVER_SETTLE_S)

    def _disconnect(self, unreachable_vm: str) -> None:
        """Drop all messages to and from a VM while its connections stay open."""
        self.unreachable.add(unreachable_vm)
        for vm in self.vms:
            self.network.block(vm, unreachable_vm)
            self.network.block(unreachable_vm, vm)

    def _replace_vm(self, unreachable_vm: str) -> None:
        if self.variant is Variant.NAIVE:
            return
        alive_vms = [vm for vm in self.vms if vm not in self.unreachable]
        for shard in self.table.shards_of(unreachable_vm):
            vm = self.rng.choice(alive_vms)
            ownership = self.table.assign(shard, vm, clean=False)
            self.limiters[vm].acquire(ownership, None)

    def _start_requests(self, now: float) -> None:
        for name, due in self.next_arrival.items():
            while due <= now:
                gevent.spawn(self._request, name, self._choose_entry_vm())
                due += self.rng.expovariate(self.loads[name])
            self.next_arrival[name] = due

    def _choose_entry_vm(self) -> str:
        while True:
            first = self.rng.random() < self.first_vm_share
            vm = self.vms[0] if first else self.rng.choice(self.vms[1:])
            if vm not in self.unreachable:
                return vm

    def _request(self, name: str, vm: str) -> None:
        arrived_at = self.clock.now()
        tally = self.tallies[name]
        was_within_rate = tally.is_within_rate(arrived_at)
        admission = self.limiters[vm].admit((workspace_bucket(name),))
        now = self.clock.now()
        tally.record(admission.admitted, was_within_rate, arrived_at, now)
