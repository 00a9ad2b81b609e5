"""Runs a load plan and compares callers' results with the targets' counts."""

from collections.abc import Callable

import gevent
from gevent.pool import Pool

from lacewingpond.load.balancer import Balancer
from lacewingpond.load.caller import LIMITED_STATUS, Caller, CallOutcome, CallResult
from lacewingpond.load.plan import LoadPlan
from lacewingpond.load.schedule import ScheduledRequest, schedule
from lacewingpond.load.session import HeldSession
from lacewingpond.load.summary import LoadReport, WorkspaceTally
from lacewingpond.load.targets import TargetCounts
from lacewingpond.util.clock import Clock

MAX_CONCURRENT = 2000
PROGRESS_INTERVAL_S = 1.0
ABANDON_TIMEOUT_S = 0.02
MAX_REPORTED_VIOLATIONS = 20


class LoadRunner:
    """Sends the requests of a plan at their times and checks the results.

    Parameters
    ----------
    plan : LoadPlan
        The plan.
    clock : Clock
        Clock that times the requests.
    progress : callable
        Called with one line of text each second.
    """

    __slots__ = (
        "_plan",
        "_clock",
        "_progress",
        "_caller",
        "_balancer",
        "_tallies",
        "_results",
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
        self._results: list[tuple[ScheduledRequest, tuple[CallResult, ...]]] = []

    def run(self) -> LoadReport:
        """Send all requests, wait for their results and return the report.

        Raises
        ------
        UserError
            If the counts of a target can't be read.
        """
        requests = schedule(self._plan)
        started_at = self._clock.now()
        progress_reporter = gevent.spawn(self._report_progress, started_at)
        self._balancer.start()
        sessions = [
            gevent.spawn(self._run_session, session, started_at)
            for session in HeldSession.all_of(self._plan, len(requests))
        ]
        pool = Pool(MAX_CONCURRENT)
        for request in requests:
            self._clock.sleep(max(0.0, started_at + request.at - self._clock.now()))
            pool.spawn(self._send, self._caller, request, started_at)
        pool.join()
        gevent.joinall(sessions, raise_error=True)
        progress_reporter.kill()
        self._balancer.stop()
        return self._build_report(started_at)

    def _run_session(self, session: HeldSession, started_at: float) -> None:
        caller = Caller(self._plan.timeout_s, self._plan.seed)
        for request in session.requests():
            self._clock.sleep(max(0.0, started_at + request.at - self._clock.now()))
            self._send(caller, request, started_at)

    def _send(
        self, caller: Caller, request: ScheduledRequest, started_at: float
    ) -> None:
        tally = self._tallies[request.workspace.name]
        tally.sent += 1
        daemon = self._balancer.route(request.daemon)
        if request.abandons:
            caller.send(request, daemon, ABANDON_TIMEOUT_S)
        results = [caller.send(request, daemon)]
        tally.record_latency(self._clock.now() - started_at - request.at)
        if request.repeats:
            results.append(caller.send(request, self._balancer.route_elsewhere(daemon)))
        _count(tally, results[0])
        self._results.append((request, tuple(results)))

    def _report_progress(self, started_at: float) -> None:
        while True:
            self._clock.sleep(PROGRESS_INTERVAL_S)
            sent = sum(tally.sent for tally in self._tallies.values())
            answered = sum(tally.answered for tally in self._tallies.values())
            elapsed = self._clock.now() - started_at
            self._progress(f"{elapsed:5.0f} s  sent {sent}  answered {answered}")

    def _build_report(self, started_at: float) -> LoadReport:
        violations = self._result_violations()
        if self._plan.targets:
            violations += self._run_violations(TargetCounts.read(self._plan.targets))
        return LoadReport(
            seed=self._plan.seed,
            duration_s=self._clock.now() - started_at,
            workspaces=tuple(tally.summary() for tally in self._tallies.values()),
            broken=tuple(violations[:MAX_REPORTED_VIOLATIONS]),
        )

    def _result_violations(self) -> list[str]:
        violations = []
        for request, results in self._results:
            request_id = self._caller.request_id(request)
            violations += [
                f"{request_id}: {result.detail}"
                for result in results
                if result.outcome is CallOutcome.ERROR and result.status
            ]
            digests = {a.digest for a in results if a.outcome is CallOutcome.ANSWERED}
            if len(digests) > 1:
                violations.append(f"{request_id}: a repeat got a different response")
        return violations

    def _run_violations(self, counts: TargetCounts) -> list[str]:
        violations = []
        for request, results in self._results:
            request_id = self._caller.request_id(request)
            runs = counts.runs.get(request_id, 0)
            if request.kind.idempotency_key and runs > 1:
                violations.append(f"{request_id}: ran {runs} times")
            all_not_run = all(a.outcome is CallOutcome.NOT_RUN for a in results)
            if all_not_run and runs and not request.abandons:
                violations.append(f"{request_id}: refused as not run, but ran")
            answered = any(a.outcome is CallOutcome.ANSWERED for a in results)
            if answered and not runs:
                violations.append(f"{request_id}: got a response, but never ran")
        if counts.keys_seen:
            violations.append(f"targets saw {counts.keys_seen} callers' keys")
        return violations


def _count(tally: WorkspaceTally, result: CallResult) -> None:
    if result.outcome is CallOutcome.ANSWERED:
        tally.answered += 1
    elif result.outcome is CallOutcome.NOT_RUN:
        tally.refused_not_run += 1
    elif result.outcome is CallOutcome.UNKNOWN:
        tally.refused_unknown += 1
    else:
        tally.errors += 1
    if result.status == LIMITED_STATUS:
        tally.limited += 1
