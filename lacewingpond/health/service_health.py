"""One VM's state for the targets of one service."""

from collections.abc import Callable

from lacewingpond.config.model import Service
from lacewingpond.health.messages import TargetRecord, VerdictRow, target_hash
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.outlier_detector import OutlierDetector
from lacewingpond.health.tally import Tally
from lacewingpond.health.unsent import UnsentOutcomes
from lacewingpond.health.verdict import Verdict, VerdictState

KNOWN_STATES = frozenset(VerdictState)
OUT_OF_SERVICE = frozenset({VerdictState.EJECTED, VerdictState.DRAINING})


class ServiceHealth:
    """Outcomes that have not been reported, and the verdicts last received.

    Parameters
    ----------
    service : Service
        The service and its targets.
    build_local_detector : callable
        Builds a detector that uses this VM's outcomes only. It is called when the
        detector is first needed, since many services may have no traffic here.
    now : float
        Current time, in seconds of the clock.

    Attributes
    ----------
    verdicts_at : float
        Time at which verdicts were last received.
    detector_vm_id : str
        VM that sent the last verdicts; empty before the first.
    last_used_at : float
        Time of the last outcome.
    unsent : UnsentOutcomes
        Outcomes held while this VM reports suspected targets only.
    """

    __slots__ = (
        "service",
        "_build_local_detector",
        "_local_detector",
        "verdicts_at",
        "detector_vm_id",
        "last_used_at",
        "unsent",
        "_tallies",
        "_rows",
        "_verdicts",
        "_refused_at",
        "_drained_at",
    )

    def __init__(
        self,
        service: Service,
        build_local_detector: Callable[[Service], OutlierDetector],
        now: float,
    ) -> None:
        self.service = service
        self._build_local_detector = build_local_detector
        self._local_detector: OutlierDetector | None = None
        self.verdicts_at = now
        self.detector_vm_id = ""
        self.last_used_at = float("-inf")
        self.unsent = UnsentOutcomes(now)
        self._tallies: dict[str, Tally] = {}
        self._rows: tuple[VerdictRow, ...] = ()
        self._verdicts: dict[int, Verdict] = {}
        self._refused_at: dict[str, float] = {}
        self._drained_at: dict[str, float] = {}

    def configure(self, service: Service) -> None:
        """Apply the service's targets and drop the state of removed ones."""
        self.service = service
        if self._local_detector is not None:
            self._local_detector.configure(service)
        known = {target.target_id for target in service.targets}
        for gone in [name for name in self._tallies if name not in known]:
            del self._tallies[gone]
        for times in (self._refused_at, self._drained_at):
            for gone in [name for name in times if name not in known]:
                del times[gone]

    @property
    def local_detector(self) -> OutlierDetector:
        """The detector that uses this VM's outcomes only."""
        if self._local_detector is None:
            self._local_detector = self._build_local_detector(self.service)
        return self._local_detector

    def local_verdict(self, target_id: str) -> Verdict | None:
        """Return the local detector's verdict, or None if there is no detector."""
        return (
            self._local_detector.verdict(target_id)
            if self._local_detector is not None
            else None
        )

    def drop_local_detector(self) -> None:
        """Drop the local detector; a new one is built when needed."""
        self._local_detector = None

    def record(
        self, now: float, target_id: str, outcome: Outcome, latency_s: float
    ) -> None:
        """Count one outcome for the next digest."""
        self.last_used_at = now
        self._tallies.setdefault(target_id, Tally()).add(outcome, latency_s)
        if outcome is Outcome.REFUSED_CONNECTION:
            self._refused_at[target_id] = now
        elif outcome is Outcome.DRAINING:
            self._drained_at[target_id] = now
        elif outcome is Outcome.OK:
            self._refused_at.pop(target_id, None)

    def reclassify_timeouts(self, target_id: str, count: int) -> None:
        """Count up to `count` timeouts of this period as silent connections."""
        tally = self._tallies.get(target_id)
        if tally is not None:
            tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, count)

    def take_records(self) -> tuple[TargetRecord, ...]:
        """Remove and return the outcomes since the last call."""
        tallies, self._tallies = self._tallies, {}
        return tuple(
            TargetRecord(target_hash(target_id), tally.packed())
            for target_id, tally in tallies.items()
        )

    def set_verdicts(
        self, now: float, detector_vm_id: str, rows: tuple[VerdictRow, ...]
    ) -> None:
        """Store the verdicts that `detector_vm_id` sent; unknown states are ignored."""
        self.verdicts_at = now
        self.detector_vm_id = detector_vm_id
        self._rows = rows
        self._verdicts = {
            row.target: Verdict(
                VerdictState(row.state), row.weight / 255.0, now - row.age_s
            )
            for row in rows
            if row.state in KNOWN_STATES
        }

    def out_of_service_rows(self) -> tuple[VerdictRow, ...]:
        """Return the last received verdicts on ejected and draining targets.

        A new owner of the shard gets them as `ServiceDigest.prior_verdicts`.
        """
        return tuple(row for row in self._rows if row.state in OUT_OF_SERVICE)

    def fleet_verdict(self, target_id: str) -> Verdict | None:
        """Return the last received verdict, or None if the target is healthy."""
        return self._verdicts.get(target_hash(target_id))

    def refused_within(self, now: float, target_id: str, seconds: float) -> bool:
        """Return whether the target refused a connection within `seconds`.

        A successful response after the refusal resets it.
        """
        refused_at = self._refused_at.get(target_id)
        return refused_at is not None and now - refused_at < seconds

    def drained_within(self, now: float, target_id: str, seconds: float) -> bool:
        """Return whether a response to this VM said within `seconds` that it drains."""
        drained_at = self._drained_at.get(target_id)
        return drained_at is not None and now - drained_at < seconds
