"""Shares outcomes and loads of targets with the other daemons."""

import gevent
from gevent.event import Event

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import PeerChannel
from lacewingpond.entry.peers.messages import OutcomeRow, Outcomes
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

REPORT_S = 0.5  # requests last as long, so loads are seldom older than one of them
URGENT_S = 0.03  # gathers failures of one moment in one message
MAX_ROWS = 40  # fits into a datagram


class OutcomeReporter:
    """Counts outcomes, applies them here and tells them to peers.

    Failures go at once to the peers near by and to one in each other failure
    domain, which passes them on. Loads and successes go to the near peers only.

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
    __slots__ += ("_urgent", "_loads", "_greenlets")

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
        self._counts: dict[str, list[int]] = {}
        self._loads: dict[str, int] = {}
        self._urgent = Event()
        self._greenlets: list[gevent.Greenlet] = []
        channel.on(Outcomes, self._take)

    def start(self) -> None:
        """Report from now on."""
        self._greenlets = [
            gevent.spawn(self._report_failures),
            gevent.spawn(self._report_loads),
        ]

    def stop(self) -> None:
        """Report no more."""
        gevent.killall(self._greenlets)

    def note(self, state: TargetState, good: bool, why: str) -> None:
        """Count one outcome of this VM."""
        target_id = state.instance.target_id
        counts = self._counts.setdefault(target_id, [0, 0])
        counts[0 if good else 1] += 1
        self._count(target_id, int(good), int(not good), f"here: {why}")
        if not good:
            self._urgent.set()

    def _count(self, target_id: str, good: int, bad: int, whose: str) -> None:
        state = self._table.get(target_id)
        if state is not None and state.suspicion.add(self._clock.now(), good, bad):
            score = round(state.suspicion.score, 1)
            self._log.decision("eject", target_id, whose, score=score)

    def _take(self, report: Outcomes, sender: tuple[str, int]) -> None:
        address = f"{sender[0]}:{sender[1]}"
        self._fleet.heard(address)
        now = self._clock.now()
        for row in report.rows:
            state = self._table.get(row.target_id)
            if state is None:
                continue
            if row.in_flight >= 0:
                state.note_load(address, row.in_flight, now)
            self._count(row.target_id, row.good, row.bad, f"peer {address}")
        if report.relay:
            self._channel.broadcast(self._fleet.near(), Outcomes(report.rows))

    def _report_failures(self) -> None:
        while True:
            self._urgent.wait()
            self._clock.sleep(URGENT_S)
            self._urgent.clear()
            rows = self._rows(only_failed=True)
            self._channel.broadcast(self._fleet.near(), Outcomes(rows))
            self._channel.broadcast(self._fleet.relays(), Outcomes(rows, relay=True))

    def _report_loads(self) -> None:
        while True:
            self._clock.sleep(REPORT_S)
            rows = self._rows(only_failed=False)
            if rows:
                self._channel.broadcast(self._fleet.near(), Outcomes(rows))

    def _rows(self, only_failed: bool) -> tuple[OutcomeRow, ...]:
        rows = []
        if only_failed:
            ids = [target for target, (_, bad) in self._counts.items() if bad]
        else:
            self._loads = {**dict.fromkeys(self._loads, 0), **self._current_loads()}
            ids = list(self._counts.keys() | self._loads.keys())
        for target_id in ids[:MAX_ROWS]:
            good, bad = self._counts.pop(target_id, (0, 0))
            # A report on failures says nothing of loads.
            load = -1 if only_failed else self._loads.get(target_id, 0)
            rows.append(OutcomeRow(target_id, good, bad, load))
        if not only_failed:
            self._loads = {k: n for k, n in self._loads.items() if n}
        return tuple(rows)

    def _current_loads(self) -> dict[str, int]:
        return {
            state.instance.target_id: state.in_flight
            for state in self._table.all()
            if state.in_flight
        }
