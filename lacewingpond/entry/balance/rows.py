"""Rows of a report on the load that the VMs of a failure domain put on targets."""

from collections.abc import Iterable

from lacewingpond.entry.peers.messages import DomainLoads, LoadRow, encode
from lacewingpond.entry.targets.state import TargetState

MAX_ROWS = 40
MAX_REPORT_BYTES = 1_200  # one unfragmented datagram on any path


def load_rows(states: Iterable[TargetState], now: float) -> list[LoadRow]:
    """Return the rows of this failure domain's VMs, those with most requests first.

    A service without requests in flight has one row, because receivers estimate the
    load of a service that a report doesn't name.

    Parameters
    ----------
    states : iterable of TargetState
        The targets of all services.
    now : float
        Time in seconds.
    """
    loads: dict[str, dict[str, float]] = {}
    for state in states:
        spec = state.spec
        by_domain = loads.setdefault(spec.service, {})
        in_flight = state.load(now) * spec.slots
        by_domain[spec.failure_domain] = (
            by_domain.get(spec.failure_domain, 0.0) + in_flight
        )
    rows = []
    for service, by_domain in loads.items():
        largest = max(by_domain, key=lambda domain: (by_domain[domain], domain))
        rows += [
            LoadRow(service, domain, round(in_flight))
            for domain, in_flight in by_domain.items()
            if round(in_flight) or domain == largest
        ]
    rows.sort(key=lambda row: (-row.in_flight, row.service, row.failure_domain))
    return rows


def bounded_report(
    failure_domain: str, rows: list[LoadRow], max_bytes: int = MAX_REPORT_BYTES
) -> DomainLoads:
    """Return a report of as many of the first rows as fit.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the VMs.
    rows : list of LoadRow
        Rows, the most important ones first.
    max_bytes : int
        Most bytes of the encoded report.
    """
    left = max_bytes - len(encode(DomainLoads(failure_domain, (), relay=True)))
    left -= 2  # an array of more than 15 rows has a longer head
    fitting = []
    for row in rows[:MAX_ROWS]:
        left -= len(encode(row))
        if left < 0:
            break
        fitting.append(row)
    return DomainLoads(failure_domain, tuple(fitting), relay=True)
