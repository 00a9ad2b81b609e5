"""Exchange of the load reports between failure domains."""

from msgspec import structs

from lacewingpond.entry.balance.reports import DomainReports
from lacewingpond.entry.balance.rows import (
    MAX_REPORT_BYTES,
    bounded_report,
    load_rows,
)
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import DomainLoads
from lacewingpond.entry.peers.protocol import LOADS_VERSION
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

REPORT_INTERVAL_S = 0.5
# Each VM receives a report from each other domain. With more than six of them reports
# are sent less often; all control may take 9,000 bytes/s.
MAX_INTERVAL_S = 1.0
MAX_RECEIVED_BYTES_PER_S = 4_000
PREFERRED_REPORT_BYTES = 300  # three services and three domains


class DomainReporter:
    """Reports the load that the VMs of this failure domain put on the targets.

    One VM of each domain reports: the first in rendezvous order of those that were
    seen recently. It sends each report to one VM of each other domain, which forwards
    it within its domain, and a report without rows to the VMs of its own domain, so
    that they have seen it.

    Parameters
    ----------
    table : TargetTable
        The targets with their loads.
    fleet : Fleet
        Members and when they were last seen.
    reports : DomainReports
        Receives the reports of other domains.
    channel : DatagramChannel
        Sends and receives reports.
    clock : Clock
        Times the reports.
    log : DecisionLog
        Log of the VM that reports.

    Attributes
    ----------
    enabled : bool
        Whether this VM reports; it forwards the reports of others in any case.
    """

    __slots__ = ("enabled", "_table", "_fleet", "_reports", "_channel", "_clock")
    __slots__ += ("_log", "_reporting")

    def __init__(
        self,
        table: TargetTable,
        fleet: Fleet,
        reports: DomainReports,
        channel: DatagramChannel,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.enabled = False
        self._table = table
        self._fleet = fleet
        self._reports = reports
        self._channel = channel
        self._clock = clock
        self._log = log
        self._reporting = False
        channel.register(DomainLoads, self._handle)

    def run(self) -> None:
        """Report at intervals; never returns."""
        while True:
            others = self._other_domain_count()
            self._clock.sleep(interval_s(others))
            if self.enabled:
                self._report(others)

    def is_reporter(self) -> bool:
        """Return whether this VM is the one of its domain that reports."""
        fleet = self._fleet
        vms = fleet.domain_vms(LOADS_VERSION)
        order = ranked(f"loads/{fleet.failure_domain}", {*vms, fleet.vm_id})
        seen = (v for v in order if v == fleet.vm_id or fleet.is_recently_seen(v))
        return next(seen) == fleet.vm_id

    def _other_domain_count(self) -> int:
        domains = self._fleet.domain_sizes().keys()
        return len(domains - {self._fleet.failure_domain})

    def _report(self, others: int) -> None:
        reporting = others > 0 and self.is_reporter()
        if reporting != self._reporting:
            self._reporting = reporting
            why = "reports" if reporting else "another VM reports"
            self._log.decision("loads", self._fleet.vm_id, why)
        if not reporting:
            return
        domain = self._fleet.failure_domain
        states = (s for s in self._table.all() if not s.spec.draining)
        rows = load_rows(states, self._clock.now())
        report = bounded_report(domain, rows, max_report_bytes(others))
        self._channel.broadcast(self._fleet.relays(LOADS_VERSION), report)
        seen = DomainLoads(domain, ())
        self._channel.broadcast(self._fleet.domain_peers(LOADS_VERSION), seen)

    def _handle(self, report: DomainLoads, sender: str) -> None:
        self._fleet.record_message(sender)
        if report.failure_domain == self._fleet.failure_domain:
            return
        self._reports.record(report)
        if report.relay:
            forwarded = structs.replace(report, relay=False)
            self._channel.broadcast(self._fleet.domain_peers(LOADS_VERSION), forwarded)


def interval_s(other_domains: int) -> float:
    """Return the seconds between two reports, given the number of other domains."""
    needed_s = other_domains * PREFERRED_REPORT_BYTES / MAX_RECEIVED_BYTES_PER_S
    return min(max(needed_s, REPORT_INTERVAL_S), MAX_INTERVAL_S)


def max_report_bytes(other_domains: int) -> int:
    """Return the most bytes of one report, given the number of other domains."""
    bytes_each = MAX_RECEIVED_BYTES_PER_S * interval_s(other_domains) / other_domains
    return min(int(bytes_each), MAX_REPORT_BYTES)
