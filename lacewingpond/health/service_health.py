"""What one VM holds about the targets of one service."""

from collections.abc import Callable

from lacewingpond.config.model import Service
from lacewingpond.health.judge import ServiceJudge
from lacewingpond.health.messages import TargetRecord, VerdictRow, target_hash
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally
from lacewingpond.health.unsent import UnsentOutcomes
from lacewingpond.health.verdict import Verdict, VerdictState

STATES = frozenset(VerdictState)
OUT_OF_WORK = frozenset({VerdictState.EJECTED, VerdictState.DRAINING})


class ServiceHealth:
    """Outcomes not yet sent, and the verdicts last heard.

    Parameters
    ----------
    service : Service
        The service and its targets.
    build_alone : callable
        Builds a judge by this VM's outcomes only; called at the first outcome,
        as most services may have no traffic here.
    now : float
        Seconds of the clock.
    """

    __slots__ = (
        "service",
        "_build_alone",
        "_alone",
        "heard_at",
        "judge_id",
        "used_at",
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
        build_alone: Callable[[Service], ServiceJudge],
        now: float,
    ) -> None:
        self.service = service
        self._build_alone = build_alone
        self._alone: ServiceJudge | None = None
        self.heard_at = now
        self.judge_id = ""
        self.used_at = float("-inf")
        self.unsent = UnsentOutcomes(now)
        self._tallies: dict[str, Tally] = {}
        self._rows: tuple[VerdictRow, ...] = ()
        self._verdicts: dict[int, Verdict] = {}
        self._refused_at: dict[str, float] = {}
        self._drained_at: dict[str, float] = {}

    def configure(self, service: Service) -> None:
        """Take over the service's targets."""
        self.service = service
        if self._alone is not None:
            self._alone.configure(service)
        known = {target.target_id for target in service.targets}
        for gone in [name for name in self._tallies if name not in known]:
            del self._tallies[gone]
        for held in (self._refused_at, self._drained_at):
            for gone in [name for name in held if name not in known]:
                del held[gone]

    @property
    def alone(self) -> ServiceJudge:
        """The judge by this VM's outcomes only."""
        if self._alone is None:
            self._alone = self._build_alone(self.service)
        return self._alone

    def alone_verdict(self, target_id: str) -> Verdict | None:
        """Return this VM's own verdict, or None without outcomes."""
        return self._alone.verdict(target_id) if self._alone is not None else None

    def forget_alone(self) -> None:
        """Drop this VM's own judge; a new one is built when it is needed."""
        self._alone = None

    def record(
        self, now: float, target_id: str, outcome: Outcome, latency_s: float
    ) -> None:
        """Count one outcome for the next digest."""
        self.used_at = now
        self._tallies.setdefault(target_id, Tally()).add(outcome, latency_s)
        if outcome is Outcome.REFUSED_CONNECTION:
            self._refused_at[target_id] = now
        elif outcome is Outcome.DRAINING:
            self._drained_at[target_id] = now
        elif outcome is Outcome.OK:
            self._refused_at.pop(target_id, None)

    def blame_connections(self, target_id: str, count: int) -> None:
        """Count timeouts of this period as silent connections instead."""
        tally = self._tallies.get(target_id)
        if tally is not None:
            tally.reclassify(Outcome.TIMEOUT, Outcome.SILENT_CONNECTION, count)

    def take_records(self) -> tuple[TargetRecord, ...]:
        """Return the outcomes since the last call."""
        tallies, self._tallies = self._tallies, {}
        return tuple(
            TargetRecord(target_hash(target_id), tally.packed())
            for target_id, tally in tallies.items()
        )

    def hear(self, now: float, judge_id: str, rows: tuple[VerdictRow, ...]) -> None:
        """Keep the judge's verdicts."""
        self.heard_at = now
        self.judge_id = judge_id
        self._rows = rows
        self._verdicts = {
            row.target: Verdict(
                VerdictState(row.state), row.weight / 255.0, now - row.age_s
            )
            for row in rows
            if row.state in STATES
        }

    def held(self) -> tuple[VerdictRow, ...]:
        """Return the verdicts last heard that keep targets out of work."""
        return tuple(row for row in self._rows if row.state in OUT_OF_WORK)

    def heard(self, target_id: str) -> Verdict | None:
        """Return the judge's verdict, or None when it finds the target healthy."""
        return self._verdicts.get(target_hash(target_id))

    def refused_within(self, now: float, target_id: str, seconds: float) -> bool:
        """Return whether the target refused a connection of late."""
        refused_at = self._refused_at.get(target_id)
        return refused_at is not None and now - refused_at < seconds

    def drained_within(self, now: float, target_id: str, seconds: float) -> bool:
        """Return whether the target told this VM of late that it drains."""
        drained_at = self._drained_at.get(target_id)
        return drained_at is not None and now - drained_at < seconds
