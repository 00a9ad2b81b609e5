"""Chooses the target of a request."""

import math
import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.targets.health import EJECT_AT, MAX_SCORE, Standing
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.util.clock import Clock

PROBATION_WEIGHT = 0.25  # a trial a second or so from the whole fleet
TRIAL_WEIGHT = 0.06  # of requests that can be repeated; one a second or so
MAX_EJECTED_SHARE = 0.45  # three targets in ten fail at any time, by chance more
MAX_CERTAIN_SHARE = 0.65  # of those that failed twice or more, if the others suffice
CARRIED_LOAD = 0.8  # requests for each slot that the others may be left with
COLD_WEIGHT = 0.5  # a target works half as fast just after its start
NEAR_WEIGHT = 4.0  # bytes between failure domains cost, idle slots do not
SAMPLES = 2  # the better of two drawn ones; see Mitzenmacher, TPDS 12(10), 2001


class Placer:
    """Draws two targets by weight and takes the less loaded one.

    Parameters
    ----------
    table : TargetTable
        The targets.
    fleet : Fleet
        Knows where this VM runs, and which peers report their loads to it.
    clock : Clock
        Measures standings.
    rng : random.Random
        Draws.
    """

    __slots__ = ("_table", "_fleet", "_clock", "_rng")

    def __init__(
        self,
        table: TargetTable,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._clock = clock
        self._rng = rng

    def pick(
        self, service: str, tried: set[str], repeatable: bool
    ) -> TargetState | None:
        """Return a target that was not tried yet, or None.

        Parameters
        ----------
        service : str
            Where the request goes.
        tried : set of str
            Targets that it must not reach again.
        repeatable : bool
            Whether it may go to another target if this one fails it.
        """
        now = self._clock.now()
        ready = self._table.ready(service)
        ejected = self._ejected(service, ready, now)
        fit = [s for s in ready if s.instance.target_id not in tried]
        reachable = [s for s in fit if s.is_reachable(now)] or fit
        usable = [s for s in reachable if repeatable or s not in ejected] or reachable
        if not usable:
            return None
        weights = [
            self._weight(state, now) * (TRIAL_WEIGHT if state in ejected else 1.0)
            for state in usable
        ]
        drawn = self._rng.choices(usable, weights, k=SAMPLES)
        return min(drawn, key=lambda state: state.load(now))

    def load(self, service: str) -> float:
        """Return the fleet's requests for each slot of a service's targets.

        Loads are known from the peers near by; clients of all VMs ask for much the
        same, so the others' are taken to be in proportion.
        """
        now = self._clock.now()
        ready = self._table.ready(service)
        if not ready:
            return 0.0
        known = sum(state.load(now) for state in ready) / len(ready)
        reporting = len(self._fleet.near()) + 1
        return known * self._fleet.size / min(reporting, self._fleet.size)

    def _ejected(
        self, service: str, ready: tuple[TargetState, ...], now: float
    ) -> frozenset[TargetState]:
        """Return the worst of the ejected targets, as many as the floor allows."""
        out = [s for s in ready if s.suspicion.standing(now) is Standing.EJECTED]
        allowed = max(int(len(ready) * MAX_EJECTED_SHARE), 1)
        if len(out) > allowed:
            out.sort(key=lambda s: s.suspicion.score, reverse=True)
            certain = sum(s.suspicion.score >= MAX_SCORE for s in out)
            out = out[: max(allowed, min(certain, self._dispensable(service)))]
        return frozenset(out)

    def _dispensable(self, service: str) -> int:
        """Return how many targets the others can do without at the present load."""
        count = len(self._table.ready(service))
        needed = math.ceil(count * self.load(service) / CARRIED_LOAD)
        return min(count - needed, int(count * MAX_CERTAIN_SHARE))

    def _weight(self, state: TargetState, now: float) -> float:
        weight = float(state.instance.slots)
        if state.instance.failure_domain == self._fleet.failure_domain:
            weight *= NEAR_WEIGHT
        if not state.is_warm(now):
            weight *= COLD_WEIGHT
        if state.suspicion.standing(now) is Standing.PROBATION:
            return weight * PROBATION_WEIGHT
        # Suspicion without an ejection yet turns requests away little by little.
        return weight * max(1.0 - state.suspicion.score / EJECT_AT, PROBATION_WEIGHT)
