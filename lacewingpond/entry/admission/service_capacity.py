"""What a VM knows of the capacity of a service."""

from typing import Protocol

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.targets.latency import RouteLatencies
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.table import TargetTable


class Capacity(Protocol):
    """Load and size of services, and the usual latency of routes."""

    def load(self, service: str) -> float:
        """Return the requests in flight of the whole fleet per usable slot."""
        ...

    def slots(self, service: str) -> int:
        """Return the slots of a service, without those of evacuated domains."""
        ...

    def usual_s(self, route: EntryRoute) -> float:
        """Return the median latency of a route's successes, in seconds."""
        ...

    def fleet_size(self) -> int:
        """Return the number of daemons, at least 1."""
        ...


class ServiceCapacity:
    """Capacity from the loads that are reported and the latencies of this VM.

    Parameters
    ----------
    placer : EntryPlacer
        Measures loads.
    table : TargetTable
        Targets with their slots.
    latencies : RouteLatencies
        Latencies of the routes.
    fleet : Fleet
        Its size.
    """

    __slots__ = ("_placer", "_table", "_latencies", "_fleet")

    def __init__(
        self,
        placer: EntryPlacer,
        table: TargetTable,
        latencies: RouteLatencies,
        fleet: Fleet,
    ) -> None:
        self._placer = placer
        self._table = table
        self._latencies = latencies
        self._fleet = fleet

    def load(self, service: str) -> float:
        """Return the requests in flight of the whole fleet per usable slot."""
        return self._placer.load(service)

    def slots(self, service: str) -> int:
        """Return the slots of a service, without those of evacuated domains."""
        return sum(state.spec.slots for state in self._table.remaining(service))

    def usual_s(self, route: EntryRoute) -> float:
        """Return the median latency of a route's successes, in seconds."""
        latency = self._latencies.of(route.name, route.target_latency_s)
        return latency.exceeded_by(0.5)

    def fleet_size(self) -> int:
        """Return the number of daemons, at least 1."""
        return self._fleet.size
