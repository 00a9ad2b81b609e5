"""The targets of one service that a VM uses."""

from lacewingpond.config.model import Service, Target
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.subset import select_subset
from lacewingpond.placement.target_load import TargetLoad

MIN_AVERAGE_WEIGHT = 0.02
"""Smallest weight of one response in the moving averages of the service."""

MAX_LATENCY_RATIO = 4.0


class ServiceTargets:
    """The VM's subset of a service's targets, and their loads.

    Parameters
    ----------
    service : Service
        The service and all its targets.
    options : PlacementOptions
        Size and composition of the subset.
    vm_id, failure_domain : str
        The VM and its failure domain.

    Attributes
    ----------
    subset : tuple of Target
        Targets that the VM uses.
    min_slots : float
        Slots of the subset that must remain in use, by the service's floor.
    mean_others : float
        Moving average of the requests of other VMs at a target.
    mean_latency_s : float
        Moving average of the latency, in seconds; 0 before the first response.
    """

    __slots__ = (
        "service",
        "subset",
        "min_slots",
        "mean_others",
        "mean_latency_s",
        "_response_count",
        "_loads",
        "_options",
        "_vm_id",
        "_failure_domain",
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
        self._failure_domain = failure_domain
        self._loads: dict[str, TargetLoad] = {}
        self.mean_others = 0.0
        self.mean_latency_s = 0.0
        self._response_count = 0
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Apply the service's targets; draining ones leave the subset."""
        self.service = service
        usable = [target for target in service.targets if not target.draining]
        options = self._options
        self.subset: tuple[Target, ...] = select_subset(
            usable,
            self._vm_id,
            self._failure_domain,
            options.subset_size,
            options.home_share,
        )
        self.min_slots = service.floor * self._scaled_slots(usable)
        previous, self._loads = self._loads, {}
        for target in self.subset:
            load = previous.get(target.target_id) or TargetLoad(target)
            load.target = target
            self._loads[target.target_id] = load

    def load(self, target_id: str) -> TargetLoad:
        """Return the load of a target of the subset."""
        return self._loads[target_id]

    def report(
        self, now: float, target: TargetLoad, load: float, latency_s: float
    ) -> None:
        """Update the averages by the load and the latency of one response.

        A single long response, such as a stream, says nothing about the target, so
        its latency counts as at most `MAX_LATENCY_RATIO` times the average.
        """
        if self.mean_latency_s:
            latency_s = min(latency_s, MAX_LATENCY_RATIO * self.mean_latency_s)
        others = target.report(now, load, latency_s)
        self._response_count += 1
        weight = max(MIN_AVERAGE_WEIGHT, 1.0 / self._response_count)
        self.mean_others += MIN_AVERAGE_WEIGHT * (others - self.mean_others)
        self.mean_latency_s += weight * (latency_s - self.mean_latency_s)

    def connection_share(self, fleet_size: int) -> int:
        """Return the number of connections that this VM may open to one target."""
        users = fleet_size
        usable = sum(not target.draining for target in self.service.targets)
        if usable > len(self.subset):
            users = max(1.0, fleet_size * len(self.subset) / usable)
        return max(1, int(self.service.connections_per_target / users))

    def _scaled_slots(self, usable: list[Target]) -> float:
        """Return the slots of all targets, scaled to the size of the subset."""
        slots = sum(target.slots for target in self.service.targets)
        if not usable:
            return float(slots)
        return slots * len(self.subset) / len(usable)
