"""Requests in flight at the targets of a service, by failure domain."""

from collections.abc import Iterable, Mapping

from msgspec import Struct

from lacewingpond.entry.balance.reports import DomainReports
from lacewingpond.entry.targets.state import TargetState


class ServiceLoads(Struct, frozen=True):
    """Requests in flight to the targets of one service, by their failure domain.

    Parameters
    ----------
    slots : dict of str to int
        Slots of the targets.
    own : dict of str to float
        Requests from the VMs of this failure domain.
    others : dict of str to float
        Requests from the VMs of all other failure domains.
    demand : dict of str to float
        Requests by the failure domain of the VMs that sent them, wherever their
        targets are.
    """

    slots: dict[str, int]
    own: dict[str, float]
    others: dict[str, float]
    demand: dict[str, float]

    def per_slot(self) -> float:
        """Return the requests in flight of the whole fleet per slot."""
        slots = sum(self.slots.values())
        in_flight = sum(self.own.values()) + sum(self.others.values())
        return in_flight / slots if slots else 0.0


def measured_loads(
    service: str,
    states: Iterable[TargetState],
    own_domain: str,
    sizes: Mapping[str, int],
    reports: DomainReports,
    now: float,
) -> ServiceLoads:
    """Return the loads of a service from own measurements and from reports.

    A failure domain without a recent report of the service is taken to send, for each
    of its VMs, as many requests as this domain, to its own targets if it has any.

    Parameters
    ----------
    service : str
        Service.
    states : iterable of TargetState
        Its targets.
    own_domain : str
        Failure domain of this VM.
    sizes : mapping of str to int
        Number of VMs in each failure domain.
    reports : DomainReports
        Reports of the other failure domains.
    now : float
        Time in seconds.
    """
    slots: dict[str, int] = {}
    own: dict[str, float] = {}
    for state in states:
        domain, n = state.spec.failure_domain, state.spec.slots
        slots[domain] = slots.get(domain, 0) + n
        own[domain] = own.get(domain, 0.0) + state.load(now) * n
    others = dict.fromkeys(slots, 0.0)
    own_size = max(sizes.get(own_domain, 0), 1)
    demand = {own_domain: sum(own.values())}
    for domain, size in sizes.items():
        if domain == own_domain:
            continue
        reported = reports.loads(domain, service)
        if reported is None:
            sent = demand[domain] = sum(own.values()) * size / own_size
            sent_to = [domain] if domain in slots else list(slots)
            total = sum(slots[each] for each in sent_to)
            for each in sent_to:
                others[each] += sent * slots[each] / total
        else:
            demand[domain] = float(sum(reported.values()))
            for each in reported.keys() & others.keys():
                others[each] += reported[each]
    return ServiceLoads(slots, own, others, demand)
