"""Runs keyed requests on the VM that owns their keys."""

from collections.abc import Callable

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.runner import RunResult
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.job import Job
from lacewingpond.routing.match import RouteMatch
from lacewingpond.routing.routes import RouteTable
from lacewingpond.targets.errors import AnswerCutError
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_ANSWER_BYTES = 500_000
"""Longest answer that is passed between VMs; a longer one is given up."""


class KeyedRunner:
    """Sends a keyed request to a target and keeps the whole answer.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends to targets.
    clock : Clock
        Measures the time that the caller waits.
    log : DecisionLog
        Takes runs without an answer.
    """

    __slots__ = ("_dispatcher", "_clock", "_log", "_routes")

    def __init__(self, dispatcher: Dispatcher, clock: Clock, log: DecisionLog) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._log = log
        self._routes = RouteTable()

    def configure(self, routes: RouteTable) -> None:
        """Take over the routes of a revision."""
        self._routes = routes

    def run(self, request: KeyedRequest, may_send: Callable[[], bool]) -> RunResult:
        """Run `request` once; see `Runner`."""
        match = self._match(request)
        if match is None:
            self._log.decision("refuse", request.route, "no route here", run="not-run")
            return RunResult(RunState.NOT_RUN)
        deadline = self._clock.now() + request.timeout_s
        job = Job.from_keyed(request, match, deadline, may_send)
        outcome = self._dispatcher.dispatch(job)
        if outcome.is_ok():
            return self._collect(request, outcome.ok_value)
        refused = outcome.err_value
        self._log.decision(
            "refuse", request.route, refused.reason, run=refused.run.value
        )
        if refused.run is RunState.NOT_RUN:
            return RunResult(RunState.NOT_RUN)
        return RunResult(RunState.UNKNOWN)

    def _match(self, request: KeyedRequest) -> RouteMatch | None:
        """Return the route, unless this VM's revision would not let the request in."""
        found = self._routes.match(request.host, request.path, request.method).ok()
        if found is None or found.route.name != request.route:
            return None
        return found if found.admits(request.workspace) else None

    def _collect(self, request: KeyedRequest, response: TargetResponse) -> RunResult:
        blocks, size = [], 0
        try:
            for block in response:
                size += len(block)
                if size > MAX_ANSWER_BYTES:
                    self._log.decision("answer-refused", request.route, "too long")
                    return RunResult(RunState.RAN)
                blocks.append(block)
        except AnswerCutError as exc:
            self._log.decision("answer-cut", request.route, exc.reason.value)
            return RunResult(RunState.UNKNOWN)
        finally:
            response.close()
        headers = tuple(response.headers)
        return RunResult(
            RunState.RAN, Answer(response.status, headers, b"".join(blocks))
        )
