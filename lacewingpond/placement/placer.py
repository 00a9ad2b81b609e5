"""Chooses a target for each request."""

import random
from typing import Protocol

from result import Err, Ok, Result

from lacewingpond.config.model import Config
from lacewingpond.health.verdict import Verdict
from lacewingpond.placement.errors import PlacementError, PlacementFailure
from lacewingpond.placement.floor import Candidate, apply_verdicts
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placement import Placement
from lacewingpond.placement.service_targets import ServiceTargets
from lacewingpond.placement.target_load import TargetLoad
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

EQUAL_COST = 0.01
"""Difference of two costs below which the target drawn first is taken."""
REFRESH_S = 0.1
"""Time for which a service's verdicts are kept, in seconds."""


class VerdictSource(Protocol):
    """Tells the verdict on a target, as `HealthReporter` does."""

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Return what placement may do with a target."""
        ...


class Placer:
    """The least loaded of a few drawn targets, among those that may take work.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """

    __slots__ = (
        "_options",
        "_vm_id",
        "_home",
        "_clock",
        "_rng",
        "_health",
        "_log",
        "_metrics",
        "_services",
        "_candidates",
        "_fleet_size",
    )

    def __init__(
        self,
        options: PlacementOptions,
        vm_id: str,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        health: VerdictSource,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._vm_id = vm_id
        self._home = failure_domain
        self._clock = clock
        self._rng = rng
        self._health = health
        self._log = log
        self._metrics = metrics
        self._services: dict[str, ServiceTargets] = {}
        self._candidates: dict[str, tuple[float, tuple[Candidate, ...]]] = {}
        self._fleet_size = options.fleet_size

    @classmethod
    def from_options(
        cls,
        options: PlacementOptions,
        vm_id: str,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        health: VerdictSource,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "Placer":
        """Build a placer; `configure` gives it targets."""
        return cls(options, vm_id, failure_domain, clock, rng, health, log, metrics)

    def configure(self, cfg: Config) -> None:
        """Take over the services and targets of a revision."""
        wanted = {service.name: service for service in cfg.services}
        for gone in [name for name in self._services if name not in wanted]:
            del self._services[gone]
        for name, service in wanted.items():
            known = self._services.get(name)
            if known is None:
                self._services[name] = ServiceTargets(
                    service, self._options, self._vm_id, self._home
                )
            elif known.service != service:
                known.configure(service)
        self._candidates.clear()

    def set_fleet_size(self, vm_count: int) -> None:
        """Take over the number of live VMs, this one included."""
        self._fleet_size = max(vm_count, 1)

    def connection_share(self, service: str) -> int:
        """Return the connections that this VM may hold to each target."""
        known = self._services.get(service)
        return known.connection_share(self._fleet_size) if known else 0

    def in_use(self, service: str) -> tuple[Candidate, ...]:
        """Return the targets that may get work of this VM, and their weights."""
        known = self._services.get(service)
        return self._usable(service, known) if known else ()

    def pick(
        self, service: str, exclude: frozenset[str] = frozenset()
    ) -> Result[Placement, PlacementError]:
        """Choose a target that is not in `exclude`.

        Parameters
        ----------
        service : str
            Name of the service.
        exclude : frozenset of str
            Ids of targets that this request must not use.

        Returns
        -------
        Result of Placement, PlacementError
            A placement, to be ended by `done`.
        """
        known = self._services.get(service)
        if known is None:
            return Err(PlacementError(PlacementFailure.UNKNOWN_SERVICE, service))
        candidates = self._usable(service, known)
        if exclude:
            candidates = tuple(
                c for c in candidates if c.target.target_id not in exclude
            )
        if not candidates:
            self._metrics.incr("placement.no_target")
            self._log.decision("place", service, "no target takes work")
            return Err(PlacementError(PlacementFailure.NO_TARGET, service))
        return Ok(self._place(known, self._choose(known, candidates)))

    def _usable(self, service: str, known: ServiceTargets) -> tuple[Candidate, ...]:
        now = self._clock.now()
        held = self._candidates.get(service)
        if held is not None and now < held[0]:
            return held[1]
        verdicts = [
            self._health.verdict(service, target.target_id) for target in known.subset
        ]
        usable = apply_verdicts(known.subset, verdicts, known.least_slots)
        self._candidates[service] = (now + REFRESH_S, usable)
        return usable

    def _choose(
        self, known: ServiceTargets, candidates: tuple[Candidate, ...]
    ) -> TargetLoad:
        first = self._draw(candidates)
        load = known.load(candidates[first].target.target_id)
        if len(candidates) == 1:
            return load
        for _ in range(self._options.choices - 1):
            index = self._draw(candidates, passed_over=first)
            other = known.load(candidates[index].target.target_id)
            if self._cost(known, other) < self._cost(known, load) - EQUAL_COST:
                load = other
        return load

    def _draw(
        self, candidates: tuple[Candidate, ...], passed_over: int | None = None
    ) -> int:
        """Draw an index by weight; a light candidate is mostly passed over."""
        for _ in range(len(candidates) * 4):
            index = self._rng.randrange(len(candidates))
            if index == passed_over:
                continue
            weight = candidates[index].weight
            if weight >= 1.0 or self._rng.random() < weight:
                return index
        indices = [i for i in range(len(candidates)) if i != passed_over]
        return max(indices, key=lambda i: candidates[i].weight)

    def _cost(self, known: ServiceTargets, load: TargetLoad) -> float:
        cost = load.pressure(
            self._clock.now(),
            self._options.load_half_life_s,
            known.usual_others,
            known.usual_s,
        )
        if load.target.failure_domain != self._home:
            cost += self._options.home_penalty
        return cost

    def _place(self, known: ServiceTargets, load: TargetLoad) -> Placement:
        load.in_flight += 1
        target = load.target
        placed_at = self._clock.now()

        def on_done(reported: float | None) -> None:
            load.in_flight -= 1
            if reported is not None:
                now = self._clock.now()
                known.report(now, load, reported, now - placed_at)

        self._log.decision(
            "place",
            target.target_id,
            "least loaded of the drawn",
            service=known.service.name,
            in_flight=load.in_flight,
        )
        return Placement(target, on_done)
