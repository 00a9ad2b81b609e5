"""Runs requests with an idempotency key on the VM that owns the key."""

from collections.abc import Callable

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.runner import RunResult
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.routed_request import RoutedRequest
from lacewingpond.routing.match import RouteMatch
from lacewingpond.routing.routes import RouteTable
from lacewingpond.targets.errors import TruncatedResponseError
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_RESPONSE_BYTES = 500_000
"""Longest response that VMs pass to each other; a longer one is discarded."""


class KeyedRunner:
    """Sends a keyed request to a target and reads the whole response.

    Parameters
    ----------
    dispatcher : Dispatcher
        Delivers requests to targets.
    clock : Clock
        Measures deadlines.
    log : DecisionLog
        Receives runs without a complete response.
    """

    __slots__ = ("_dispatcher", "_clock", "_log", "_routes")

    def __init__(self, dispatcher: Dispatcher, clock: Clock, log: DecisionLog) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._log = log
        self._routes = RouteTable()

    def configure(self, routes: RouteTable) -> None:
        """Apply the routes of a configuration revision."""
        self._routes = routes

    def run(self, request: KeyedRequest, may_send: Callable[[], bool]) -> RunResult:
        """Return the result of running `request` once; see `Runner`.

        Parameters
        ----------
        request : KeyedRequest
            The request.
        may_send : callable
            Called just before the first byte is sent; the request is not sent when it
            returns False.
        """
        match = self._match(request)
        if match is None:
            self._log.decision(
                "refuse", request.route, "no such route on this VM", run="not-run"
            )
            return RunResult(RunState.NOT_RUN)
        deadline = self._clock.now() + request.timeout_s
        routed = RoutedRequest.from_keyed(request, match, deadline, may_send)
        outcome = self._dispatcher.dispatch(routed)
        if outcome.is_ok():
            return self._read_response(request, outcome.ok_value)
        refusal = outcome.err_value
        self._log.decision(
            "refuse", request.route, refusal.reason, run=refusal.run.value
        )
        if refusal.run is RunState.NOT_RUN:
            return RunResult(RunState.NOT_RUN)
        return RunResult(RunState.UNKNOWN)

    def _match(self, request: KeyedRequest) -> RouteMatch | None:
        """Return the request's route; None if this VM's revision does not allow it."""
        match = self._routes.match(request.host, request.path, request.method).ok()
        if match is None or match.route.name != request.route:
            return None
        return match if match.allows(request.workspace) else None

    def _read_response(
        self, request: KeyedRequest, response: TargetResponse
    ) -> RunResult:
        blocks, size = [], 0
        try:
            for block in response:
                size += len(block)
                if size > MAX_RESPONSE_BYTES:
                    self._log.decision("answer-refused", request.route, "too long")
                    return RunResult(RunState.RAN)
                blocks.append(block)
        except TruncatedResponseError as exc:
            self._log.decision("answer-cut", request.route, exc.reason.value)
            return RunResult(RunState.UNKNOWN)
        finally:
            response.close()
        headers = tuple(response.headers)
        return RunResult(
            RunState.RAN, Answer(response.status, headers, b"".join(blocks))
        )
