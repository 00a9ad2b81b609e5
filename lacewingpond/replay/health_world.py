"""The targets' behaviour in a replay of health decisions."""

import random

from msgspec import Struct

from lacewingpond.health.outcome import Outcome
from lacewingpond.replay.trace import TraceEvent

USUAL_S = 0.04
LATENCY_SIGMA = 0.4
TIMEOUT_S = 2.0
LOST_WITH_A_CRASH = 3
"""Requests of other callers that a crash of their target loses."""


class Result(Struct, frozen=True):
    """What came of one request."""

    outcome: Outcome
    latency_s: float
    poison: bool = False


class HealthWorld:
    """Draws the outcome of each request from the trace's events so far.

    Parameters
    ----------
    noise : float
        Share of the requests that fail on a healthy target.
    vm_index : dict of str to int
        Numbers of the VMs; a fault seen by one VM in n is seen by each nth.
    rng : random.Random
        Draws outcomes.
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

    def begin(self, event: TraceEvent) -> None:
        """Let an event take effect until its ``seconds`` have passed."""
        self._active.append(event)

    def prune(self, at: float) -> None:
        """Forget the events that have passed at `at` seconds of the trace."""
        self._active = [e for e in self._active if not _has_passed(e, at)]

    def is_faulty(self, target_id: str) -> bool:
        """Return whether a fault of the target itself is in effect."""
        return any(e.kind == "errors" and e.subject == target_id for e in self._active)

    def is_seen_by(self, target_id: str, vm_id: str) -> bool:
        """Return whether `vm_id` sees a fault of the target."""
        return any(
            event.kind == "errors"
            and event.subject == target_id
            and self._applies(event, vm_id)
            for event in self._active
        )

    def request(self, at: float, vm_id: str, target_id: str) -> Result:
        """Return what comes of a request of `vm_id` to `target_id`."""
        latency_s = USUAL_S * self._rng.lognormvariate(0.0, LATENCY_SIGMA)
        if at < self._crashed.get(target_id, 0.0):
            return self._from_crashed(target_id)
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

    def _from_crashed(self, target_id: str) -> Result:
        if self._in_flight[target_id]:
            self._in_flight[target_id] -= 1
            return Result(Outcome.ERROR, USUAL_S)
        return Result(Outcome.REFUSED_CONNECTION, 0.001)

    def _over_bad_link(self, event: TraceEvent, target_id: str) -> Result | float:
        if event.fields.get("target", target_id) != target_id:
            return 1.0
        if self._rng.random() < event.fields["share"]:
            return Result(Outcome.TIMEOUT, TIMEOUT_S)
        return 1.0

    def _at_target(
        self, event: TraceEvent, at: float, vm_id: str, target_id: str, usual_s: float
    ) -> Result | float:
        fields = event.fields
        if event.kind == "drain":
            return Result(Outcome.DRAINING, 0.001)
        if event.kind in ("errors", "noise") and self._applies(event, vm_id):
            if self._rng.random() < fields["share"]:
                return Result(Outcome.ERROR, usual_s)
        elif event.kind == "silent" and self._applies(event, vm_id):
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
            self._in_flight[target_id] = LOST_WITH_A_CRASH
            return Result(Outcome.ERROR, usual_s, poison=True)
        return 1.0

    def _applies(self, event: TraceEvent, vm_id: str) -> bool:
        one_in = int(event.fields.get("one_vm_in", 1))
        return self._vm_index[vm_id] % one_in == 0


def _has_passed(event: TraceEvent, at: float) -> bool:
    return at >= event.at + float(event.fields["seconds"])
