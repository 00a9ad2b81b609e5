"""Replays faults of targets and links through outlier detection and placement."""

import heapq
import itertools
import random

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.verdict import VerdictState
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placement import Placement
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.health_fleet import HealthFleet
from lacewingpond.replay.health_naive import FAILURES, ConsecutiveErrorDetector
from lacewingpond.replay.health_simulation import HealthSimulation, Result
from lacewingpond.replay.health_traces import health_traces
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.util.clock import ManualClock

SERVICE = "gallery"
# Smallest share of all slots that ejections must leave available.
FLOOR_RATIO = 0.5
SLOTS = 6
# Step of the manual clock.
STEP_S = 0.1
# Time after the start of a drain in which requests to the target are accepted.
DRAIN_GRACE_S = 3.0
# Share of the VMs seeing a fault that must have ejected the target.
DETECTED_SHARE = 0.9
EJECTION_GRACE_S = 3.0
"""Time after the end of a fault in which an ejection is still correct."""
DEFAULT_CHECK_INTERVAL_STEPS = 1
"""Steps between checks of the verdicts."""
PROFILES = {
    "default": HealthOptions(),
    "certainty": HealthOptions.for_certainty(),
    "speed": HealthOptions.for_speed(),
    "large-fleet": HealthOptions.for_large_fleet(),
}


class HealthReplayer:
    """Replays the scenario ``health``."""

    scenario = "health"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return its measures."""
        return _Run(trace, variant).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return health_traces(seed)


class _Run:
    """Replay of one trace with one variant."""

    def __init__(self, trace: Trace, variant: Variant) -> None:
        params = trace.header.params
        self.trace = trace
        self.naive = variant is Variant.NAIVE
        self.seconds = float(params["seconds"])
        self.rate = float(params["rate"])
        self.check_steps = int(params.get("check_steps", DEFAULT_CHECK_INTERVAL_STEPS))
        self.rng = random.Random(trace.header.seed)
        self.clock = ManualClock()
        self.start = self.clock.now()
        self.targets = [f"t{number}" for number in range(int(params["targets"]))]
        self.cfg = Config(services=(self._service(),))
        self.options = PROFILES[str(params.get("profile", "default"))]
        vms = int(params["vms"])
        seed = trace.header.seed
        self.fleet = HealthFleet(vms, self.cfg, self.options, self.clock, seed)
        self.naive_detectors = {
            vm: ConsecutiveErrorDetector(self.targets, self.rng)
            for vm in self.fleet.vm_ids
        }
        vm_index = {vm: number for number, vm in enumerate(self.fleet.vm_ids)}
        target_count = len(self.targets)
        if not self.naive:
            target_count = min(target_count, PlacementOptions().subset_size)
        self.min_slots = FLOOR_RATIO * SLOTS * target_count
        self.simulation = HealthSimulation(float(params["noise"]), vm_index, self.rng)
        self.pending: list[tuple[float, int, str, str, Result, Placement | None]] = []
        self.sequence = itertools.count()
        self.faulty_until: dict[str, float] = {}
        self.drain_started_at: dict[str, float] = {}
        self.first_fault: TraceEvent | None = None
        self.detected_at: float | None = None
        self.ejected_pairs: set[tuple[str, str]] = set()
        self.poison_requests = 0
        self.requests = 0
        self.failed = 0
        self.false_ejections = 0
        self.ejections = 0
        self.floor_breaches = 0
        self.work_after_drain = 0

    def play(self) -> Measures:
        events = list(self.trace.events)
        for step in range(int(self.seconds / STEP_S)):
            at = step * STEP_S
            while events and events[0].at <= at:
                self._apply(events.pop(0))
            self._end_cuts(at)
            self.simulation.remove_ended(at)
            self._complete_requests()
            if not self.naive:
                self.fleet.tick(self.clock.now())
            self._send(at)
            if step % self.check_steps == 0:
                self._check(at)
            self.clock.advance(STEP_S)
        return self._measures()

    def _service(self) -> Service:
        targets = tuple(
            Target(name, f"{name}:80", slots=SLOTS) for name in self.targets
        )
        return Service(SERVICE, targets, floor=FLOOR_RATIO)

    def _apply(self, event: TraceEvent) -> None:
        if event.kind == "cut":
            self.fleet.network.cut.add(event.subject)
            return
        if event.kind == "errors":
            self.first_fault = self.first_fault or event
            end = event.at + float(event.fields["seconds"]) + EJECTION_GRACE_S
            self.faulty_until[event.subject] = end
        if event.kind == "drain":
            self.drain_started_at[event.subject] = event.at
        self.simulation.start(event)

    def _end_cuts(self, at: float) -> None:
        for event in self.trace.events:
            if event.kind == "cut" and at >= event.at + float(event.fields["seconds"]):
                self.fleet.network.cut.discard(event.subject)

    def _send(self, at: float) -> None:
        for _ in range(round(self.rate * STEP_S)):
            vm_id = self.rng.choice(self.fleet.vm_ids)
            placement = None
            if self.naive:
                target_id = self.naive_detectors[vm_id].pick(self.clock.now())
            else:
                placement = self.fleet.placers[vm_id].pick(SERVICE).unwrap()
                target_id = placement.target.target_id
            if at > self.drain_started_at.get(target_id, self.seconds) + DRAIN_GRACE_S:
                self.work_after_drain += 1
            result = self.simulation.request(at, vm_id, target_id)
            entry = (vm_id, target_id, result, placement)
            ends_at = self.clock.now() + result.latency_s
            heapq.heappush(self.pending, (ends_at, next(self.sequence), *entry))

    def _complete_requests(self) -> None:
        now = self.clock.now()
        while self.pending and self.pending[0][0] <= now:
            _, _, vm_id, target_id, result, placement = heapq.heappop(self.pending)
            self.requests += 1
            self.failed += result.outcome in FAILURES
            self.naive_detectors[vm_id].record(now, target_id, result.outcome)
            if placement is None:
                continue
            placement.done(None)
            self.poison_requests += result.poison
            poison_suspect = result.poison and self.poison_requests > 2
            self.fleet.reporters[vm_id].record(
                SERVICE, target_id, result.outcome, result.latency_s, poison_suspect
            )

    def _check(self, at: float) -> None:
        for vm_id in self.fleet.vm_ids:
            for target_id in self.targets:
                self._check_ejection(at, vm_id, target_id)
            if self._slots_in_use(vm_id) < self.min_slots:
                self.floor_breaches += 1
        if self.first_fault is not None and self.detected_at is None:
            self._check_detection(at, self.first_fault.subject)

    def _check_ejection(self, at: float, vm_id: str, target_id: str) -> None:
        pair = (vm_id, target_id)
        if not self._is_ejected(vm_id, target_id):
            self.ejected_pairs.discard(pair)
            return
        if pair in self.ejected_pairs:
            return
        self.ejected_pairs.add(pair)
        self.ejections += 1
        if at > self.faulty_until.get(target_id, -1.0):
            self.false_ejections += 1

    def _check_detection(self, at: float, target_id: str) -> None:
        seeing = [
            vm for vm in self.fleet.vm_ids if self.simulation.is_seen_by(target_id, vm)
        ]
        detecting = sum(self._is_ejected(vm, target_id) for vm in seeing)
        if seeing and detecting >= DETECTED_SHARE * len(seeing):
            self.detected_at = at

    def _is_ejected(self, vm_id: str, target_id: str) -> bool:
        if self.naive:
            return self.naive_detectors[vm_id].is_ejected(self.clock.now(), target_id)
        verdict = self.fleet.reporters[vm_id].verdict(SERVICE, target_id)
        return verdict.state is VerdictState.EJECTED

    def _slots_in_use(self, vm_id: str) -> int:
        if not self.naive:
            candidates = self.fleet.placers[vm_id].candidates(SERVICE)
            return sum(candidate.target.slots for candidate in candidates)
        ejected = [self._is_ejected(vm_id, target) for target in self.targets]
        return SLOTS * ejected.count(False)

    def _measures(self) -> Measures:
        measures = {
            "false_ejections": float(self.false_ejections),
            "ejections": float(self.ejections),
            "floor_breaches": float(self.floor_breaches),
            "failed_share": self.failed / max(self.requests, 1),
        }
        if self.drain_started_at:
            measures["work_after_drain"] = float(self.work_after_drain)
        if self.first_fault is not None:
            end_s = self.seconds if self.detected_at is None else self.detected_at
            measures["detection_s"] = round(end_s - self.first_fault.at, 1)
        return measures
