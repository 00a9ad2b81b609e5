"""Selection of the target for a request of the entry daemon.

`lacewingpond.placement.placer` has that of the standalone daemon.
"""

import math
import random
from collections import Counter
from collections.abc import Collection

from lacewingpond.entry.balance.domain_balance import DomainBalance
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.room.without_paused import without_paused
from lacewingpond.entry.targets.eligibility import (
    TRIALS,
    Eligibility,
    best_available,
    eligibility,
)
from lacewingpond.entry.targets.health import EJECT_SCORE, MAX_SCORE, HealthStatus
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.util.clock import Clock

# Score at which a request that can't be retried mostly avoids a target. It loses more
# there than one that is tried at another target beside it.
AVOIDED_SCORE = 2.2
AVOIDED_WEIGHT = 0.05
PROBATION_WEIGHT = 0.25  # about one request per second from the whole fleet
# Ejected targets are tried at intervals, by retryable requests, which are sent to other
# targets as well if need be. So a target whose failure is over is soon back.
TRIAL_INTERVAL_S = 0.7
MAX_EJECTED_RATIO = 0.45  # 3 of 10 targets may fail at any time, by chance more
# Applies to ejected targets that failed at least twice, if the others carry the load.
MAX_CONFIRMED_RATIO = 0.65
MAX_REMAINING_LOAD = 0.8  # requests per slot of the targets that are not ejected
WARMUP_WEIGHT = 0.5  # a target is half as fast just after its start
SAME_DOMAIN_WEIGHT = 4.0  # traffic between failure domains costs, idle slots do not
# Requests per slot of the own domain's targets, from and up to which the preference for
# them falls, as in locality-weighted load balancing with spillover.
SPILL_FROM_LOAD, SPILL_TO_LOAD = 0.2, 0.5
# Draws, of which the least loaded wins; more than two, as loads are a moment old. Power
# of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001.
CANDIDATES = 3


class EntryPlacer:
    """Draws a few targets by weight and picks the least loaded one.

    Parameters
    ----------
    table : TargetTable
        The targets.
    statements : TargetStatements
        What the targets have said of themselves.
    fleet : Fleet
        Failure domain of this VM, and the peers that report their loads to it.
    clock : Clock
        Time source.
    rng : random.Random
        Draws targets.

    Attributes
    ----------
    balance : DomainBalance or None
        Weighs the failure domains; if None, near targets have a higher weight.
    """

    __slots__ = ("balance", "_table", "_statements", "_fleet", "_clock", "_rng")

    def __init__(
        self,
        table: TargetTable,
        statements: TargetStatements,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._statements = statements
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self.balance: DomainBalance | None = None

    def pick(
        self,
        service: str,
        tried: Collection[str],
        retryable: bool,
        limited: Collection[str] = (),
    ) -> TargetState | None:
        """Return a target that was not tried yet, or None if there is none.

        `lacewingpond.entry.targets.eligibility` tells which targets may be picked.

        Parameters
        ----------
        service : str
            Service of the request.
        tried : collection of str
            Ids of the targets to which the request must not be sent again.
        retryable : bool
            Whether the request may be sent to another target if this one fails, so
            that it may serve as a trial of an ejected target.
        limited : collection of str
            Ids of the targets whose limit allows no request now.
        """
        now = self._clock.now()
        states = self._states(service, limited, now)
        untried = {s: e for s, e in states.items() if s.spec.target_id not in tried}
        available = best_available(untried.values(), retryable)
        on_trial = available == TRIALS
        usable = [
            state
            for state, found in untried.items()
            if found in available and not (on_trial and _was_tried(state, found, now))
        ]
        if not usable:
            return None
        usable = without_paused(usable, now)
        if self.balance is not None:
            usable = self._of_one_domain(self.balance, service, usable, states)
        domain = self._fleet.failure_domain
        preference = self._domain_preference(usable, states, now)
        weights = [
            float(state.spec.slots)
            if on_trial and states[state] is Eligibility.EJECTED
            else self._weight(state, now, retryable)
            * (preference if state.spec.failure_domain == domain else 1.0)
            for state in usable
        ]
        drawn = self._rng.choices(usable, weights, k=CANDIDATES)
        if on_trial and states[drawn[0]] is Eligibility.EJECTED:
            # Requests that hang there would make it lose against the others.
            picked = drawn[0]
        else:
            picked = min(drawn, key=lambda state: state.load(now))
        picked.last_used_at = now
        return picked

    def passed_over(
        self, service: str, limited: Collection[str] = ()
    ) -> dict[str, int]:
        """Return how many targets of a service are in each state but eligible."""
        states = self._states(service, limited, self._clock.now())
        counts = Counter(found.name.lower() for found in states.values())
        counts.pop(Eligibility.ELIGIBLE.name.lower(), None)
        return dict(counts)

    def pauses_s(self, service: str) -> list[float]:
        """Return how long the paused targets of a service want no requests yet."""
        pauses = [
            self._statements.pause_left_s(state.spec)
            for state in self._table.remaining(service)
            if not self._statements.is_leaving(state.spec)
        ]
        return [pause_s for pause_s in pauses if pause_s > 0.0]

    def is_evacuated(self, service: str, domains: Collection[str] = ()) -> bool:
        """Return whether a service has targets, but only in evacuated domains.

        Parameters
        ----------
        service : str
            The service.
        domains : collection of str
            Further failure domains that count as evacuated.
        """
        return bool(self._table.ready(service)) and all(
            state.spec.failure_domain in domains
            for state in self._table.remaining(service)
        )

    def _states(
        self, service: str, limited: Collection[str], now: float
    ) -> dict[TargetState, Eligibility]:
        statements = self._statements
        ready = self._table.ready(service)
        covers = self._table.evacuations.covers
        open_ = [
            state
            for state in self._table.remaining(service)
            if not statements.is_leaving(state.spec)
            and not statements.pause_left_s(state.spec)
        ]
        ejected = self._ejected(service, open_, now)
        return {
            state: eligibility(
                leaving=statements.is_leaving(state.spec),
                evacuated=covers(state.spec),
                paused=statements.pause_left_s(state.spec) > 0.0,
                limited=state.spec.target_id in limited,
                unreachable=not state.is_reachable(now),
                ejected=state in ejected,
            )
            for state in ready
        }

    def load(self, service: str) -> float:
        """Return the estimated requests in flight of the whole fleet per slot.

        Without `balance` only peers in this failure domain report their loads. The
        requests that arrive at the other VMs are similar, so the known load is scaled
        to the fleet size.
        """
        if self.balance is not None:
            return self.balance.load(service)
        now = self._clock.now()
        ready = self._table.remaining(service)
        if not ready:
            return 0.0
        known = sum(state.load(now) for state in ready) / len(ready)
        reporting = len(self._fleet.domain_peers()) + 1
        return known * self._fleet.size / min(reporting, self._fleet.size)

    def _ejected(
        self, service: str, ready: list[TargetState], now: float
    ) -> frozenset[TargetState]:
        """Return the worst ejected targets, up to the number that may be left out."""
        ejected = [s for s in ready if s.health.is_ejected(now)]
        allowed = max(int(len(ready) * MAX_EJECTED_RATIO), 1)
        if len(ejected) > allowed:
            ejected.sort(key=lambda s: s.health.score, reverse=True)
            confirmed = sum(s.health.score >= MAX_SCORE for s in ejected)
            spare = self._spare_targets(service, len(ready))
            ejected = ejected[: max(allowed, min(confirmed, spare))]
        return frozenset(ejected)

    def _spare_targets(self, service: str, count: int) -> int:
        """Return how many of `count` targets can be left out at the current load."""
        load = self.load(service) * len(self._table.remaining(service))
        needed = math.ceil(load / MAX_REMAINING_LOAD)
        return min(count - needed, int(count * MAX_CONFIRMED_RATIO))

    def _of_one_domain(
        self,
        balance: DomainBalance,
        service: str,
        usable: list[TargetState],
        states: dict[TargetState, Eligibility],
    ) -> list[TargetState]:
        """Draw a failure domain, and return the usable targets in it.

        An ejected target is drawn for a trial by its part of all usable slots. The
        loads that this VM knows are comparable within one domain only.
        """
        sound = [s for s in usable if states[s] is not Eligibility.EJECTED]
        if 0 < len(sound) < len(usable):
            slots = [state.spec.slots for state in usable]
            first = self._rng.choices(usable, slots)[0]
            if states[first] is Eligibility.EJECTED:
                return [first]
        domains: dict[str, list[TargetState]] = {}
        for state in sound or usable:
            domains.setdefault(state.spec.failure_domain, []).append(state)
        if len(domains) == 1:
            return sound or usable
        eligible = [s for s, e in states.items() if e is Eligibility.ELIGIBLE]
        weights = balance.weights(service, eligible or usable)
        parts = [weights.get(domain, 0.0) for domain in domains]
        if not any(parts):
            parts = [float(len(group)) for group in domains.values()]
        return self._rng.choices(list(domains.values()), parts)[0]

    def _domain_preference(
        self,
        usable: list[TargetState],
        states: dict[TargetState, Eligibility],
        now: float,
    ) -> float:
        """Return the weight of targets in this domain, which falls with their load."""
        domain = self._fleet.failure_domain
        near = [
            state
            for state in usable
            if state.spec.failure_domain == domain
            and states[state] is not Eligibility.EJECTED
        ]
        if not near:
            return SAME_DOMAIN_WEIGHT
        load = sum(state.load(now) for state in near) / len(near)
        spilled = (load - SPILL_FROM_LOAD) / (SPILL_TO_LOAD - SPILL_FROM_LOAD)
        spilled = min(max(spilled, 0.0), 1.0)
        return SAME_DOMAIN_WEIGHT + (1.0 - SAME_DOMAIN_WEIGHT) * spilled

    def _weight(self, state: TargetState, now: float, retryable: bool) -> float:
        """Return the draw weight: slots by warm-up and health."""
        weight = float(state.spec.slots)
        if not state.is_warm(now):
            weight *= WARMUP_WEIGHT
        # A rising failure score lowers the weight before the target is ejected.
        health = state.health
        if health.is_clean:
            return weight
        if health.status(now) is HealthStatus.PROBATION:
            return weight * PROBATION_WEIGHT
        if not retryable:
            return weight * max(1.0 - health.score / AVOIDED_SCORE, AVOIDED_WEIGHT)
        return weight * max(1.0 - health.score / EJECT_SCORE, PROBATION_WEIGHT)


def _was_tried(state: TargetState, found: Eligibility, now: float) -> bool:
    """Return whether an ejected target is not due for a trial yet."""
    if found is not Eligibility.EJECTED:
        return False
    return now - state.last_used_at < TRIAL_INTERVAL_S
