"""The targets of one service as one VM uses them."""

from lacewingpond.config.model import Service, Target
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.subset import subset_of
from lacewingpond.placement.target_load import TargetLoad

USUAL_WEIGHT = 0.02
"""Least weight of one answer in what is usual for the service."""

MAX_LATENCY_RATIO = 4.0


class ServiceTargets:
    """The VM's subset of the targets, and their loads.

    Parameters
    ----------
    service : Service
        The service and all its targets.
    options : PlacementOptions
        Size of the subset.
    vm_id, failure_domain : str
        The VM and where it runs.
    """

    __slots__ = (
        "service",
        "subset",
        "least_slots",
        "usual_others",
        "usual_s",
        "_answers",
        "_loads",
        "_options",
        "_vm_id",
        "_home",
    )

    def __init__(
        self,
        service: Service,
        options: PlacementOptions,
        vm_id: str,
        failure_domain: str,
    ) -> None:
        self._options = options
        self._vm_id = vm_id
        self._home = failure_domain
        self._loads: dict[str, TargetLoad] = {}
        self.usual_others = 0.0
        self.usual_s = 0.0
        self._answers = 0
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Take over the service's targets; draining ones leave the subset."""
        self.service = service
        usable = [target for target in service.targets if not target.draining]
        options = self._options
        self.subset: tuple[Target, ...] = subset_of(
            usable, self._vm_id, self._home, options.subset_size, options.home_share
        )
        self.least_slots = service.floor * self._all_slots(usable)
        former, self._loads = self._loads, {}
        for target in self.subset:
            load = former.get(target.target_id) or TargetLoad(target)
            load.target = target
            self._loads[target.target_id] = load

    def load(self, target_id: str) -> TargetLoad:
        """Return the load of a target of the subset."""
        return self._loads[target_id]

    def report(
        self, now: float, target: TargetLoad, load: float, latency_s: float
    ) -> None:
        """Learn from the load and the latency of one answer.

        A single long answer, such as a stream, says nothing of the target, so it
        counts for no more than `MAX_LATENCY_RATIO` times the usual latency.
        """
        if self.usual_s:
            latency_s = min(latency_s, MAX_LATENCY_RATIO * self.usual_s)
        others = target.report(now, load, latency_s)
        self._answers += 1
        weight = max(USUAL_WEIGHT, 1.0 / self._answers)
        self.usual_others += USUAL_WEIGHT * (others - self.usual_others)
        self.usual_s += weight * (latency_s - self.usual_s)

    def connection_share(self, fleet_size: int) -> int:
        """Return the connections that this VM may hold to one target."""
        users = fleet_size
        usable = sum(not target.draining for target in self.service.targets)
        if usable > len(self.subset):
            users = max(1.0, fleet_size * len(self.subset) / usable)
        return max(1, int(self.service.connections_per_target / users))

    def _all_slots(self, usable: list[Target]) -> float:
        """Return the slots of all targets, scaled to the subset."""
        slots = sum(target.slots for target in self.service.targets)
        if not usable:
            return float(slots)
        return slots * len(self.subset) / len(usable)
