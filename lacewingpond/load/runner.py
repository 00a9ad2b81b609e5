"""Runs a load plan and compares what callers were told with what targets did."""

from collections.abc import Callable

import gevent
from gevent.pool import Pool

from lacewingpond.load.balancer import Balancer
from lacewingpond.load.caller import REASON_LIMITED, Answer, Caller, Outcome
from lacewingpond.load.plan import LoadPlan
from lacewingpond.load.schedule import Arrival, schedule
from lacewingpond.load.session import HeldSession
from lacewingpond.load.summary import LoadReport, WorkspaceTally
from lacewingpond.load.targets import TargetCounts
from lacewingpond.util.clock import Clock

MAX_CONCURRENT = 2000
PROGRESS_PERIOD_S = 1.0
ABANDON_AFTER_S = 0.02
MAX_NAMED = 20


class LoadRunner:
    """Sends the arrivals of a plan when they are due.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    clock : Clock
        Paces the arrivals.
    progress : callable
        Takes one line of text each second.
    """

    __slots__ = (
        "_plan",
        "_clock",
        "_progress",
        "_caller",
        "_balancer",
        "_tallies",
        "_answers",
    )

    def __init__(
        self, plan: LoadPlan, clock: Clock, progress: Callable[[str], None]
    ) -> None:
        self._plan = plan
        self._clock = clock
        self._progress = progress
        self._caller = Caller(plan.timeout_s, plan.seed)
        self._balancer = Balancer(plan.daemons, plan.balancer_check_path, clock)
        self._tallies = {w.name: WorkspaceTally(w.name) for w in plan.workspaces}
        self._answers: list[tuple[Arrival, tuple[Answer, ...]]] = []

    def run(self) -> LoadReport:
        """Send everything, wait for all answers and check the promises."""
        arrivals = schedule(self._plan)
        started = self._clock.now()
        ticker = gevent.spawn(self._report_progress, started)
        self._balancer.start()
        sessions = [
            gevent.spawn(self._hold, session, started)
            for session in HeldSession.all_of(self._plan, len(arrivals))
        ]
        pool = Pool(MAX_CONCURRENT)
        for arrival in arrivals:
            self._clock.sleep(max(0.0, started + arrival.at - self._clock.now()))
            pool.spawn(self._one, self._caller, arrival, started)
        pool.join()
        gevent.joinall(sessions, raise_error=True)
        ticker.kill()
        self._balancer.stop()
        return self._report(started)

    def _hold(self, session: HeldSession, started: float) -> None:
        caller = Caller(self._plan.timeout_s, self._plan.seed)
        for arrival in session.arrivals():
            self._clock.sleep(max(0.0, started + arrival.at - self._clock.now()))
            self._one(caller, arrival, started)

    def _one(self, caller: Caller, arrival: Arrival, started: float) -> None:
        tally = self._tallies[arrival.workspace.name]
        tally.sent += 1
        daemon = self._balancer.route(arrival.daemon)
        if arrival.abandons:
            caller.send(arrival, daemon, ABANDON_AFTER_S)
        answers = [caller.send(arrival, daemon)]
        tally.record_latency(self._clock.now() - started - arrival.at)
        if arrival.repeats:
            answers.append(caller.send(arrival, self._balancer.other(daemon)))
        _count(tally, answers[0])
        self._answers.append((arrival, tuple(answers)))

    def _report_progress(self, started: float) -> None:
        while True:
            self._clock.sleep(PROGRESS_PERIOD_S)
            sent = sum(tally.sent for tally in self._tallies.values())
            answered = sum(tally.answered for tally in self._tallies.values())
            elapsed = self._clock.now() - started
            self._progress(f"{elapsed:5.0f} s  sent {sent}  answered {answered}")

    def _report(self, started: float) -> LoadReport:
        broken = self._broken_answers()
        if self._plan.targets:
            broken += self._broken_runs(TargetCounts.read(self._plan.targets))
        return LoadReport(
            seed=self._plan.seed,
            duration_s=self._clock.now() - started,
            workspaces=tuple(tally.summary() for tally in self._tallies.values()),
            broken=tuple(broken[:MAX_NAMED]),
        )

    def _broken_answers(self) -> list[str]:
        broken = []
        for arrival, answers in self._answers:
            name = self._caller.request_id(arrival)
            broken += [
                f"{name}: {answer.detail}"
                for answer in answers
                if answer.outcome is Outcome.ERROR and answer.status
            ]
            digests = {a.digest for a in answers if a.outcome is Outcome.ANSWERED}
            if len(digests) > 1:
                broken.append(f"{name}: a repeat got another answer")
        return broken

    def _broken_runs(self, counts: TargetCounts) -> list[str]:
        broken = []
        for arrival, answers in self._answers:
            name = self._caller.request_id(arrival)
            runs = counts.runs.get(name, 0)
            if arrival.kind.idempotency_key and runs > 1:
                broken.append(f"{name}: ran {runs} times")
            told_not_run = all(a.outcome is Outcome.NOT_RUN for a in answers)
            if told_not_run and runs and not arrival.abandons:
                broken.append(f"{name}: was told not-run and ran")
            answered = any(a.outcome is Outcome.ANSWERED for a in answers)
            if answered and not runs:
                broken.append(f"{name}: was answered and never ran")
        if counts.keys_seen:
            broken.append(f"targets saw {counts.keys_seen} callers' keys")
        return broken


def _count(tally: WorkspaceTally, answer: Answer) -> None:
    if answer.outcome is Outcome.ANSWERED:
        tally.answered += 1
    elif answer.outcome is Outcome.NOT_RUN:
        tally.refused_not_run += 1
    elif answer.outcome is Outcome.UNKNOWN:
        tally.refused_unknown += 1
    else:
        tally.errors += 1
    if answer.status == REASON_LIMITED:
        tally.limited += 1
