"""Shares outcomes and loads of targets with the other daemons."""

import gevent
from gevent.event import Event
from msgspec import structs

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import PeerChannel
from lacewingpond.entry.peers.messages import OutcomeRow, Outcomes
from lacewingpond.entry.targets.health import EJECT_AT
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running

REPORT_S = 0.5  # requests last as long, so loads are seldom older than one of them
URGENT_S = 0.03  # gathers failures of one moment in one message
MAX_ROWS = 40  # fits into a datagram


class _Counts:
    """Outcomes at one target since the last report."""

    __slots__ = ("good", "blame", "passed", "blamed_at")

    def __init__(self) -> None:
        self.good = self.passed = 0
        self.blame = 0.0
        self.blamed_at = float("-inf")

    def add(self, row: OutcomeRow, now: float) -> None:
        self.good += row.good
        self.blame += row.blame
        self.passed += row.passed
        if row.blame:
            self.blamed_at = max(self.blamed_at, now - row.age_s)

    def row(self, target_id: str, load: int, now: float) -> OutcomeRow:
        age_s = now - self.blamed_at if self.blame else 0.0
        return OutcomeRow(target_id, self.good, self.blame, self.passed, load, age_s)


class OutcomeReporter:
    """Counts outcomes, applies them here and tells them to peers.

    Failures go at once to the peers near by, loads and successes a little later. The
    other failure domains see none of those successes, so they get no single errors:
    they are told, through one peer in each that passes it on, what ejects a target
    here or ends its ejection.

    Parameters
    ----------
    table : TargetTable
        Holds the targets.
    fleet : Fleet
        Knows the peers.
    channel : PeerChannel
        Carries reports.
    clock : Clock
        Dates outcomes and waits.
    log : DecisionLog
        Takes ejections.
    """

    __slots__ = ("_table", "_fleet", "_channel", "_clock", "_log", "_counts")
    __slots__ += ("_urgent", "_verdicts", "_loads", "_greenlets")

    def __init__(
        self,
        table: TargetTable,
        fleet: Fleet,
        channel: PeerChannel,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._log = log
        self._counts: dict[str, _Counts] = {}
        self._verdicts: dict[str, _Counts] = {}
        self._loads: dict[str, int] = {}
        self._urgent = Event()
        self._greenlets: list[gevent.Greenlet] = []
        channel.on(Outcomes, self._take)

    def start(self) -> None:
        """Report from now on."""
        self._greenlets = [
            gevent.spawn(keep_running, name, loop, self._clock, self._log)
            for name, loop in (
                ("report-urgent", self._report_urgent),
                ("report-loads", self._report_loads),
            )
        ]

    def stop(self) -> None:
        """Report no more."""
        gevent.killall(self._greenlets)

    def note_good(self, state: TargetState, on_trial: bool) -> None:
        """Count a request that the target served, if `on_trial` while ejected."""
        self._note(state, OutcomeRow(state.instance.target_id, 1, 0.0, int(on_trial)))
        if on_trial:
            self._urgent.set()

    def note_bad(
        self, state: TargetState, why: str, blame: float, age_s: float = 0.0
    ) -> None:
        """Count a request that the target failed.

        Parameters
        ----------
        state : TargetState
            The target.
        why : str
            For the log.
        blame : float
            One of those of suspicion.
        age_s : float
            How long ago the request was sent, if that dates the failure, in seconds.
        """
        target_id = state.instance.target_id
        self._note(state, OutcomeRow(target_id, 0, blame, age_s=age_s), why)
        self._urgent.set()

    def _note(self, state: TargetState, row: OutcomeRow, why: str = "") -> None:
        now = self._clock.now()
        self._counts.setdefault(row.target_id, _Counts()).add(row, now)
        if self._count(state, row, f"here: {why}"):
            row = structs.replace(row, blame=max(row.blame, EJECT_AT))
        if row.blame >= EJECT_AT or row.passed:
            self._verdicts.setdefault(row.target_id, _Counts()).add(row, now)

    def _count(self, state: TargetState, row: OutcomeRow, whose: str) -> bool:
        """Count outcomes and return whether they eject the target."""
        now = self._clock.now()
        ejected = state.suspicion.add(now, row.good, row.blame, row.passed, row.age_s)
        if ejected:
            score = round(state.suspicion.score, 1)
            self._log.decision("eject", row.target_id, whose, score=score)
        return ejected

    def _take(self, report: Outcomes, sender: str) -> None:
        self._fleet.heard(sender)
        now = self._clock.now()
        for row in report.rows:
            state = self._table.get(row.target_id)
            if state is None:
                continue
            if row.in_flight >= 0:
                state.note_load(sender, row.in_flight, now)
            self._count(state, row, f"peer {sender}")
        if report.relay:
            self._channel.broadcast(self._fleet.near(), Outcomes(report.rows))

    def _report_urgent(self) -> None:
        while True:
            self._urgent.wait()
            self._clock.sleep(URGENT_S)
            self._urgent.clear()
            rows = self._rows(only_urgent=True)
            self._channel.broadcast(self._fleet.near(), Outcomes(rows))
            verdicts = self._take_verdicts()
            if verdicts:
                report = Outcomes(verdicts, relay=True)
                self._channel.broadcast(self._fleet.relays(), report)

    def _report_loads(self) -> None:
        while True:
            self._clock.sleep(REPORT_S)
            rows = self._rows(only_urgent=False)
            if rows:
                self._channel.broadcast(self._fleet.near(), Outcomes(rows))

    def _take_verdicts(self) -> tuple[OutcomeRow, ...]:
        verdicts, self._verdicts = self._verdicts, {}
        now = self._clock.now()
        rows = [counts.row(name, -1, now) for name, counts in verdicts.items()]
        return tuple(rows[:MAX_ROWS])

    def _rows(self, only_urgent: bool) -> tuple[OutcomeRow, ...]:
        if only_urgent:
            ids = [
                target_id
                for target_id, counts in self._counts.items()
                if counts.blame or counts.passed
            ]
        else:
            self._loads = {**dict.fromkeys(self._loads, 0), **self._current_loads()}
            ids = list(self._counts.keys() | self._loads.keys())
        rows, now = [], self._clock.now()
        for target_id in ids[:MAX_ROWS]:
            counts = self._counts.pop(target_id, None) or _Counts()
            # An urgent report says nothing of loads.
            load = -1 if only_urgent else self._loads.get(target_id, 0)
            rows.append(counts.row(target_id, load, now))
        if not only_urgent:
            self._loads = {k: n for k, n in self._loads.items() if n}
        return tuple(rows)

    def _current_loads(self) -> dict[str, int]:
        return {
            state.instance.target_id: state.in_flight
            for state in self._table.all()
            if state.in_flight
        }
