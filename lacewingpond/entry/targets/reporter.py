"""Reports of the entry daemon to its peers on the outcomes and loads of targets.

`lacewingpond.health.reporter` has those of the standalone daemon to its detector.
"""

from collections.abc import Callable

import gevent
from gevent.event import Event
from msgspec import structs

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import OutcomeRow, Outcomes
from lacewingpond.entry.targets.health import BROKEN_EVIDENCE, EJECT_SCORE
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running

LOAD_REPORT_S = 0.25  # half of the duration of a request, so that loads are recent
# Bounds what a VM receives from a large failure domain, whose VMs report less often.
MAX_LOAD_REPORTS_PER_S = 60.0
URGENT_BATCH_S = 0.03  # combines simultaneous failures in one message
MAX_REPORT_ROWS = 40  # fits into one datagram
# Less evidence of overdue requests waits for the next report of loads.
URGENT_OVERDUE_SCORE = 2.0
# Overdue requests at several targets, with no success for so long, raise the suspicion
# that this VM has lost its links.
LINK_SUSPECT_TARGETS = 2
LINK_SUSPECT_S = 1.0


class _OutcomeCounts:
    """Outcomes at one target since the last report."""

    __slots__ = ("successes", "failure_evidence", "trial_successes", "evidence_at")
    __slots__ += ("overdue_evidence", "rejections")

    def __init__(self) -> None:
        self.successes = self.trial_successes = self.rejections = 0
        self.failure_evidence = self.overdue_evidence = 0.0
        self.evidence_at = float("-inf")

    def add(self, row: OutcomeRow, now: float) -> None:
        self.successes += row.successes
        self.failure_evidence += row.failure_evidence
        self.trial_successes += row.trial_successes
        self.overdue_evidence += row.overdue_evidence
        self.rejections += row.rejections
        if row.failure_evidence or row.overdue_evidence > 0.0:
            self.evidence_at = max(self.evidence_at, now - row.age_s)

    def row(self, target_id: str, load: int, now: float) -> OutcomeRow:
        has_evidence = self.failure_evidence or self.overdue_evidence > 0.0
        age_s = now - self.evidence_at if has_evidence else 0.0
        return OutcomeRow(
            target_id,
            self.successes,
            self.failure_evidence,
            self.trial_successes,
            load,
            age_s,
            self.overdue_evidence,
            self.rejections,
        )


class OutcomeReporter:
    """Adds the outcomes of this VM and of its peers to the targets' health.

    Failures and trial successes of this VM are reported at once to the peers in this
    failure domain, loads and other successes every `LOAD_REPORT_S`. Other failure
    domains do not receive these successes, so they do not receive single errors
    either: they receive only what ejects a target here and the trial successes that
    end an ejection, through one peer in each domain that relays the report.

    Parameters
    ----------
    table : TargetTable
        States of the targets.
    fleet : Fleet
        Addresses of the peers.
    channel : DatagramChannel
        Sends and receives reports.
    clock : Clock
        Time source.
    log : DecisionLog
        Log of ejections.

    Attributes
    ----------
    verify : callable or None
        Called before broken connections are reported, with the time of the last one;
        returns False if this VM reaches no target, so that they say nothing about the
        targets.
    uses_rejections : bool
        Whether targets that reject requests as they are busy are paused and reported.
    on_peer_rejection : callable or None
        Called with the service and the time if targets rejected requests of a peer.
    """

    __slots__ = (
        "verify",
        "uses_rejections",
        "on_peer_rejection",
        "_table",
        "_fleet",
        "_channel",
        "_clock",
        "_log",
        "_counts",
    )
    __slots__ += ("_urgent", "_relay_counts", "_loads", "_greenlets")
    __slots__ += ("_last_success_at", "_last_broken_at")

    def __init__(
        self,
        table: TargetTable,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._counts: dict[str, _OutcomeCounts] = {}
        self._relay_counts: dict[str, _OutcomeCounts] = {}
        self._loads: dict[str, int] = {}
        self._last_success_at = clock.now()
        self.verify: Callable[[float], bool] | None = None
        self.uses_rejections = False
        self.on_peer_rejection: Callable[[str, float], None] | None = None
        self._last_broken_at = clock.now()
        self._urgent = Event()
        self._greenlets: list[gevent.Greenlet] = []
        channel.register(Outcomes, self._handle_report)

    def start(self) -> None:
        """Start the reporting loops."""
        self._greenlets = [
            gevent.spawn(keep_running, name, loop, self._clock, self._log)
            for name, loop in (
                ("report-urgent", self._report_urgent),
                ("report-loads", self._report_loads),
            )
        ]

    def stop(self) -> None:
        """Stop the reporting loops."""
        gevent.killall(self._greenlets)

    def record_success(self, state: TargetState, on_trial: bool) -> None:
        """Record a successful request.

        Parameters
        ----------
        state : TargetState
            The target.
        on_trial : bool
            Whether the request was sent while the target was ejected.
        """
        self._last_success_at = self._clock.now()
        self._record(state, OutcomeRow(state.spec.target_id, 1, 0.0, int(on_trial)))
        if on_trial:
            self._urgent.set()

    def record_failure(
        self, state: TargetState, why: str, failure_evidence: float, age_s: float = 0.0
    ) -> None:
        """Record a failed request.

        Parameters
        ----------
        state : TargetState
            The target.
        why : str
            Cause of the failure, for the log.
        failure_evidence : float
            Evidence against the target, such as `ERROR_EVIDENCE`.
        age_s : float
            Time since the request was sent, in seconds, if it is unknown when the
            target failed; else 0.
        """
        target_id = state.spec.target_id
        self._record(
            state, OutcomeRow(target_id, 0, failure_evidence, age_s=age_s), why
        )
        if failure_evidence >= BROKEN_EVIDENCE:
            self._last_broken_at = self._clock.now()
        self._urgent.set()

    def record_rejection(self, state: TargetState) -> None:
        """Record that a target rejected a request of this VM, as it was busy.

        Parameters
        ----------
        state : TargetState
            The target; its load still counts the request.
        """
        if not self.uses_rejections:
            return
        row = OutcomeRow(state.spec.target_id, 0, 0.0, rejections=1)
        now = self._clock.now()
        self._counts.setdefault(row.target_id, _OutcomeCounts()).add(row, now)
        others = state.load(now) - 1.0 / state.spec.slots
        state.rejections.start(now, is_full=others >= 1.0)

    def record_overdue(
        self, state: TargetState, evidence: float, age_s: float = 0.0
    ) -> None:
        """Record that a request is overdue, or that it got its response after all.

        Parameters
        ----------
        state : TargetState
            The target.
        evidence : float
            Added evidence against the target; negative to take it back.
        age_s : float
            Time since the request was sent, in seconds.
        """
        target_id = state.spec.target_id
        row = OutcomeRow(target_id, 0, 0.0, age_s=age_s, overdue_evidence=evidence)
        now = self._clock.now()
        was_ejected = state.health.is_ejected(now)
        self._record(state, row, "overdue")
        self._relay(row)
        # More evidence against an ejected target is not urgent.
        if was_ejected:
            urgent = not state.health.is_ejected(now)
        else:
            urgent = evidence > 0.0 and state.health.score >= URGENT_OVERDUE_SCORE
        if urgent:
            self._urgent.set()

    def _record(self, state: TargetState, row: OutcomeRow, why: str = "") -> None:
        """Apply an outcome here and add it to the next reports."""
        now = self._clock.now()
        self._counts.setdefault(row.target_id, _OutcomeCounts()).add(row, now)
        if self._apply(state, row, f"here: {why}"):
            # Other failure domains lack the earlier evidence, so this row alone must
            # eject there.
            if row.overdue_evidence <= 0.0:
                evidence = max(row.failure_evidence, EJECT_SCORE)
                self._relay(structs.replace(row, failure_evidence=evidence))
        elif row.failure_evidence >= EJECT_SCORE or row.trial_successes:
            self._relay(row)

    def _relay(self, row: OutcomeRow) -> None:
        """Add outcomes to the next report to the other failure domains."""
        counts = self._relay_counts.setdefault(row.target_id, _OutcomeCounts())
        counts.add(row, self._clock.now())

    def _apply(self, state: TargetState, row: OutcomeRow, source: str) -> bool:
        """Add outcomes to the target's health and return whether they eject it."""
        now = self._clock.now()
        if row.successes:
            state.rejections.end()
        was_ejected = state.health.is_ejected(now)
        ejected = state.health.add(
            now,
            row.successes,
            row.failure_evidence,
            row.trial_successes,
            row.age_s,
            row.overdue_evidence,
        )
        if ejected:
            score = round(state.health.score, 1)
            self._log.decision("eject", row.target_id, source, score=score)
        elif was_ejected and not state.health.is_ejected(now):
            self._log.decision("return", row.target_id, source)
        return ejected

    def _handle_report(self, report: Outcomes, sender: str) -> None:
        self._fleet.record_message(sender)
        now = self._clock.now()
        for row in report.rows:
            state = self._table.get(row.target_id)
            if state is None:
                continue
            if row.in_flight >= 0:
                state.update_peer_load(sender, row.in_flight, now)
            if row.successes or row.failure_evidence or row.overdue_evidence:
                self._apply(state, row, f"peer {sender}")
            if row.rejections and self.on_peer_rejection is not None:
                self.on_peer_rejection(state.spec.service, now)
            # Peers' rejections by targets with free slots are at random: a pause on
            # all VMs after each of them would leave these slots idle.
            rejected = self.uses_rejections and row.rejections and not row.successes
            if rejected and state.load(now) >= 1.0:
                state.rejections.start(now, is_full=True)
        if report.relay:
            self._forward(report.rows)

    def _forward(self, rows: tuple[OutcomeRow, ...]) -> None:
        """Add the rows of another failure domain to the next report to this one.

        What ejects a target or ends an ejection is reported at once.
        """
        now = self._clock.now()
        for row in rows:
            if self._table.get(row.target_id) is not None:
                self._counts.setdefault(row.target_id, _OutcomeCounts()).add(row, now)
            if row.failure_evidence >= EJECT_SCORE or row.trial_successes:
                self._urgent.set()

    def _report_urgent(self) -> None:
        while True:
            self._urgent.wait()
            self._clock.sleep(URGENT_BATCH_S)
            self._urgent.clear()
            rows = self._take_rows(only_urgent=True)
            if not self._is_evidence(rows):
                self._relay_counts.clear()
                continue
            self._channel.broadcast(self._fleet.domain_peers(), Outcomes(rows))
            self._report_to_domains()

    def _report_to_domains(self) -> None:
        rows = self._take_relay_rows()
        if rows:
            report = Outcomes(rows, relay=True)
            self._channel.broadcast(self._fleet.relays(), report)

    def _is_evidence(self, rows: tuple[OutcomeRow, ...]) -> bool:
        """Return whether failures may be held against the targets.

        Connections that break, or hang, because this VM loses its links are not.
        """
        broken = sum(row.failure_evidence >= BROKEN_EVIDENCE for row in rows)
        overdue = sum(row.overdue_evidence > 0.0 for row in rows)
        silent_s = self._clock.now() - self._last_success_at
        hangs = overdue >= LINK_SUSPECT_TARGETS and silent_s >= LINK_SUSPECT_S
        if not (broken or hangs) or self.verify is None:
            return True
        since = self._clock.now() - LINK_SUSPECT_S if hangs else self._last_broken_at
        if self.verify(since):
            return True
        self._log.decision(
            "report", self._fleet.vm_id, "dropped", broken=broken, overdue=overdue
        )
        return False

    def _report_loads(self) -> None:
        while True:
            peers = len(self._fleet.domain_peers())
            interval_s = max(LOAD_REPORT_S, peers / MAX_LOAD_REPORTS_PER_S)
            self._clock.sleep(interval_s)
            rows = self._take_rows(only_urgent=False)
            if not self._is_evidence(rows):
                self._relay_counts.clear()
                continue
            if rows:
                self._channel.broadcast(self._fleet.domain_peers(), Outcomes(rows))
            self._report_to_domains()

    def _take_relay_rows(self) -> tuple[OutcomeRow, ...]:
        relayed, self._relay_counts = self._relay_counts, {}
        now = self._clock.now()
        rows = [counts.row(name, -1, now) for name, counts in relayed.items()]
        return tuple(rows[:MAX_REPORT_ROWS])

    def _take_rows(self, only_urgent: bool) -> tuple[OutcomeRow, ...]:
        """Remove and return the counts to report, as one row for each target."""
        if only_urgent:
            ids = [
                target_id
                for target_id, counts in self._counts.items()
                if counts.failure_evidence
                or counts.overdue_evidence
                or counts.trial_successes
            ]
        else:
            self._loads = {**dict.fromkeys(self._loads, 0), **self._current_loads()}
            ids = list(self._counts.keys() | self._loads.keys())
        rows, now = [], self._clock.now()
        for target_id in ids[:MAX_REPORT_ROWS]:
            counts = self._counts.pop(target_id, None) or _OutcomeCounts()
            # -1: an urgent report does not contain loads.
            load = -1 if only_urgent else self._loads.get(target_id, 0)
            rows.append(counts.row(target_id, load, now))
        if not only_urgent:
            self._loads = {k: n for k, n in self._loads.items() if n}
        return tuple(rows)

    def _current_loads(self) -> dict[str, int]:
        return {
            state.spec.target_id: state.in_flight
            for state in self._table.all()
            if state.in_flight
        }
