"""Load balancing over the targets of each service."""

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

COST_TOLERANCE = 0.01
"""Difference in cost that a target must exceed to replace one drawn earlier."""
VERDICT_CACHE_S = 0.1
"""Time for which the verdicts on a service's targets are cached."""


class VerdictSource(Protocol):
    """Source of verdicts on targets, such as `HealthReporter`."""

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Return the verdict on a target."""
        ...


class Placer:
    """Chooses the least loaded of a few random targets that may take work.

    Source: Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """

    __slots__ = (
        "_options",
        "_vm_id",
        "_failure_domain",
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
        self._failure_domain = failure_domain
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
        """Return a placer without targets; `configure` sets them."""
        return cls(options, vm_id, failure_domain, clock, rng, health, log, metrics)

    def configure(self, cfg: Config) -> None:
        """Apply the services and targets of a configuration."""
        wanted = {service.name: service for service in cfg.services}
        for gone in [name for name in self._services if name not in wanted]:
            del self._services[gone]
        for name, service in wanted.items():
            targets = self._services.get(name)
            if targets is None:
                self._services[name] = ServiceTargets(
                    service, self._options, self._vm_id, self._failure_domain
                )
            elif targets.service != service:
                targets.configure(service)
        self._candidates.clear()

    def set_fleet_size(self, vm_count: int) -> None:
        """Set the number of live VMs, for `connection_share`."""
        self._fleet_size = max(vm_count, 1)

    def connection_share(self, service: str) -> int:
        """Return the number of connections that this VM may open to each target."""
        targets = self._services.get(service)
        return targets.connection_share(self._fleet_size) if targets else 0

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the targets that may get work from this VM, and their weights."""
        targets = self._services.get(service)
        return self._usable_targets(service, targets) if targets else ()

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
            A placement whose `done` must be called at the end of the request, or why
            there is none.
        """
        targets = self._services.get(service)
        if targets is None:
            return Err(PlacementError(PlacementFailure.UNKNOWN_SERVICE, service))
        candidates = self._usable_targets(service, targets)
        if exclude:
            candidates = tuple(
                c for c in candidates if c.target.target_id not in exclude
            )
        if not candidates:
            self._metrics.incr("placement.no_target")
            self._log.decision("place", service, "no target takes work")
            return Err(PlacementError(PlacementFailure.NO_TARGET, service))
        return Ok(self._place(targets, self._least_loaded(targets, candidates)))

    def _usable_targets(
        self, service: str, targets: ServiceTargets
    ) -> tuple[Candidate, ...]:
        now = self._clock.now()
        cached = self._candidates.get(service)
        if cached is not None and now < cached[0]:
            return cached[1]
        verdicts = [
            self._health.verdict(service, target.target_id) for target in targets.subset
        ]
        usable = apply_verdicts(targets.subset, verdicts, targets.min_slots)
        self._candidates[service] = (now + VERDICT_CACHE_S, usable)
        return usable

    def _least_loaded(
        self, targets: ServiceTargets, candidates: tuple[Candidate, ...]
    ) -> TargetLoad:
        first = self._draw(candidates)
        load = targets.load(candidates[first].target.target_id)
        if len(candidates) == 1:
            return load
        for _ in range(self._options.choices - 1):
            index = self._draw(candidates, exclude_index=first)
            other = targets.load(candidates[index].target.target_id)
            if self._cost(targets, other) < self._cost(targets, load) - COST_TOLERANCE:
                load = other
        return load

    def _draw(
        self, candidates: tuple[Candidate, ...], exclude_index: int | None = None
    ) -> int:
        """Return a random index other than `exclude_index`.

        A candidate with a weight below 1 is accepted with that probability. If all
        attempts fail, the candidate with the highest weight is taken.
        """
        for _ in range(len(candidates) * 4):
            index = self._rng.randrange(len(candidates))
            if index == exclude_index:
                continue
            weight = candidates[index].weight
            if weight >= 1.0 or self._rng.random() < weight:
                return index
        indices = [i for i in range(len(candidates)) if i != exclude_index]
        return max(indices, key=lambda i: candidates[i].weight)

    def _cost(self, targets: ServiceTargets, load: TargetLoad) -> float:
        cost = load.utilization(
            self._clock.now(),
            self._options.load_half_life_s,
            targets.mean_others,
            targets.mean_latency_s,
        )
        if load.target.failure_domain != self._failure_domain:
            cost += self._options.home_penalty
        return cost

    def _place(self, targets: ServiceTargets, load: TargetLoad) -> Placement:
        load.in_flight += 1
        target = load.target
        placed_at = self._clock.now()

        def on_done(reported: float | None) -> None:
            load.in_flight -= 1
            if reported is not None:
                now = self._clock.now()
                targets.report(now, load, reported, now - placed_at)

        self._log.decision(
            "place",
            target.target_id,
            "least loaded of the targets drawn",
            service=targets.service.name,
            in_flight=load.in_flight,
        )
        return Placement(target, on_done)
