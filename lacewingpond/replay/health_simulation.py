"""Behaviour of the targets in replays of outlier detection."""

import random

from msgspec import Struct

from lacewingpond.health.outcome import Outcome
from lacewingpond.replay.trace import TraceEvent

MEDIAN_LATENCY_S = 0.04
# Standard deviation of the logarithm of the latency.
LATENCY_SIGMA = 0.4
TIMEOUT_S = 2.0
REQUESTS_LOST_PER_CRASH = 3
"""Number of other callers' requests that a crash of their target loses.

The first requests after the crash fail in their place.
"""


class Result(Struct, frozen=True):
    """Outcome of one request, its latency, and whether it crashed the target."""

    outcome: Outcome
    latency_s: float
    poison: bool = False


class HealthSimulation:
    """Draws the outcome of each request from the events in effect.

    Parameters
    ----------
    noise : float
        Share of the requests that fail on a healthy target.
    vm_index : dict of str to int
        Numbers of the VMs; a fault that one VM in n sees affects every nth VM.
    rng : random.Random
        Source of the random outcomes.
    """

    __slots__ = ("_noise", "_vm_index", "_rng", "_active", "_crashed", "_in_flight")

    def __init__(
        self, noise: float, vm_index: dict[str, int], rng: random.Random
    ) -> None:
        self._noise = noise
        self._vm_index = vm_index
        self._rng = rng
        self._active: list[TraceEvent] = []
        self._crashed: dict[str, float] = {}
        self._in_flight: dict[str, int] = {}

    def start(self, event: TraceEvent) -> None:
        """Start an event, which is in effect for its ``seconds``."""
        self._active.append(event)

    def remove_ended(self, at: float) -> None:
        """Remove the events that have ended by `at` seconds of the trace."""
        self._active = [e for e in self._active if not _has_ended(e, at)]

    def is_faulty(self, target_id: str) -> bool:
        """Return whether an ``errors`` event of the target is in effect."""
        return any(e.kind == "errors" and e.subject == target_id for e in self._active)

    def is_seen_by(self, target_id: str, vm_id: str) -> bool:
        """Return whether an ``errors`` event of the target affects `vm_id`."""
        return any(
            event.kind == "errors"
            and event.subject == target_id
            and self._affects(event, vm_id)
            for event in self._active
        )

    def request(self, at: float, vm_id: str, target_id: str) -> Result:
        """Return the result of a request of `vm_id` to `target_id` at `at` seconds."""
        latency_s = MEDIAN_LATENCY_S * self._rng.lognormvariate(0.0, LATENCY_SIGMA)
        if at < self._crashed.get(target_id, 0.0):
            return self._at_crashed_target(target_id)
        for event in self._active:
            if event.kind == "link" and event.subject == vm_id:
                result = self._over_bad_link(event, target_id)
            elif event.subject not in ("", target_id):
                continue
            else:
                result = self._at_target(event, at, vm_id, target_id, latency_s)
            if isinstance(result, Result):
                return result
            latency_s *= result
        if self._rng.random() < self._noise:
            return Result(Outcome.ERROR, latency_s)
        if latency_s >= TIMEOUT_S:
            return Result(Outcome.TIMEOUT, TIMEOUT_S)
        return Result(Outcome.OK, latency_s)

    def _at_crashed_target(self, target_id: str) -> Result:
        if self._in_flight[target_id]:
            self._in_flight[target_id] -= 1
            return Result(Outcome.ERROR, MEDIAN_LATENCY_S)
        return Result(Outcome.REFUSED_CONNECTION, 0.001)

    def _over_bad_link(self, event: TraceEvent, target_id: str) -> Result | float:
        """Return the result, or a factor of the latency if the event sets none."""
        if event.fields.get("target", target_id) != target_id:
            return 1.0
        if self._rng.random() < event.fields["share"]:
            return Result(Outcome.TIMEOUT, TIMEOUT_S)
        return 1.0

    def _at_target(
        self, event: TraceEvent, at: float, vm_id: str, target_id: str, latency_s: float
    ) -> Result | float:
        """Return the result, or a factor of the latency if the event sets none."""
        fields = event.fields
        if event.kind == "drain":
            return Result(Outcome.DRAINING, 0.001)
        if event.kind in ("errors", "noise") and self._affects(event, vm_id):
            if self._rng.random() < fields["share"]:
                return Result(Outcome.ERROR, latency_s)
        elif event.kind == "silent" and self._affects(event, vm_id):
            if self._rng.random() < fields["share"]:
                return Result(Outcome.SILENT_CONNECTION, TIMEOUT_S)
        elif event.kind == "slow":
            return float(fields["factor"])
        elif event.kind == "restart":
            if at - event.at < fields["down_s"]:
                return Result(Outcome.REFUSED_CONNECTION, 0.001)
            return float(fields["factor"])
        elif event.kind == "poison" and self._rng.random() < fields["share"]:
            self._crashed[target_id] = at + float(fields["down_s"])
            self._in_flight[target_id] = REQUESTS_LOST_PER_CRASH
            return Result(Outcome.ERROR, latency_s, poison=True)
        return 1.0

    def _affects(self, event: TraceEvent, vm_id: str) -> bool:
        one_in = int(event.fields.get("one_vm_in", 1))
        return self._vm_index[vm_id] % one_in == 0


def _has_ended(event: TraceEvent, at: float) -> bool:
    return at >= event.at + float(event.fields["seconds"])
