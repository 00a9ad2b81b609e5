"""Reports of the other failure domains on the load that they put on targets."""

from lacewingpond.entry.peers.messages import DomainLoads
from lacewingpond.util.clock import Clock

REPORT_MAX_AGE_S = 2.0  # four reports may be late or lost
# A domain that is silent for so long, while another one reports, has lost its VMs or
# their links. Later its VMs may run without reports, as their entries end after 20 s.
LOST_AFTER_S, LOST_UNTIL_S = 4.0, 25.0


class DomainReports:
    """The newest report of each failure domain.

    Parameters
    ----------
    clock : Clock
        Dates reports by their arrival.
    """

    __slots__ = ("_clock", "_received", "_heard_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[str, tuple[float, dict[str, dict[str, int]]]] = {}
        self._heard_at: dict[str, float] = {}

    def record(self, report: DomainLoads) -> None:
        """Replace the domain's last report, and drop those that are too old."""
        loads: dict[str, dict[str, int]] = {}
        for row in report.rows:
            by_domain = loads.setdefault(row.service, {})
            by_domain[row.failure_domain] = max(row.in_flight, 0)
        now = self._clock.now()
        self._heard_at = {
            domain: at
            for domain, at in self._heard_at.items()
            if now - at <= LOST_UNTIL_S
        }
        self._received = {
            domain: received
            for domain, received in self._received.items()
            if now - received[0] <= REPORT_MAX_AGE_S
        }
        self._received[report.failure_domain] = (now, loads)
        self._heard_at[report.failure_domain] = now

    def lost(self) -> set[str]:
        """Return the domains that stopped to report while others report."""
        now = self._clock.now()
        ages_s = {domain: now - at for domain, at in self._heard_at.items()}
        if not ages_s or min(ages_s.values()) > REPORT_MAX_AGE_S:
            # This VM may have lost its own links.
            return set()
        return {d for d, age in ages_s.items() if LOST_AFTER_S < age <= LOST_UNTIL_S}

    def loads(self, domain: str, service: str) -> dict[str, int] | None:
        """Return the requests in flight from the VMs of a domain.

        Returns
        -------
        dict of str to int, or None
            Requests by failure domain of the targets. None without a report within
            `REPORT_MAX_AGE_S`, or if it has no row of the service, because it is
            limited to the largest rows.
        """
        received = self._received.get(domain)
        if received is None or self._clock.now() - received[0] > REPORT_MAX_AGE_S:
            return None
        return received[1].get(service)
