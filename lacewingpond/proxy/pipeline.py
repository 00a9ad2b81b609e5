"""Decides what becomes of each request, from its route to its answer."""

from collections.abc import Callable
from functools import partial

from result import Err, Ok, Result

from lacewingpond.config.kinds import ALL_KINDS, Kind
from lacewingpond.config.model import Config
from lacewingpond.http.errors import RequestBodyError
from lacewingpond.http.headers import Headers
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.limits.admission import RefusalReason
from lacewingpond.proxy.availability import Availability
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.job import IDEMPOTENCY_KEY_HEADER, Job
from lacewingpond.proxy.keyed_replies import to_response
from lacewingpond.proxy.keyed_requests import KeyedRequests
from lacewingpond.proxy.keyed_runner import KeyedRunner
from lacewingpond.proxy.limiter import Limiter
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refused import Refused
from lacewingpond.routing.hop_by_hop import DEADLINE_HEADER, headers_to_target
from lacewingpond.routing.keys import KeyTable, presented_key, shows_key
from lacewingpond.routing.match import RouteFailure, RouteMatch, RouteMiss
from lacewingpond.routing.routes import RouteTable
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

MISS_STATUS = {
    RouteFailure.NO_ROUTE: 404,
    RouteFailure.METHOD_NOT_ALLOWED: 405,
    RouteFailure.BAD_PATH: 400,
}


class Pipeline:
    """Takes requests from the callers' server and returns their answers.

    Parameters
    ----------
    options : ProxyOptions
        Bounds of one request.
    limiter : Limiter
        Fleet-wide rates.
    dispatcher : Dispatcher
        Sends requests to targets.
    keyed : KeyedRequests
        Takes non-idempotent requests with an ``Idempotency-Key``.
    runner : KeyedRunner
        Runs those that this VM owns.
    availability : Availability
        Whether this VM may take requests.
    clock : Clock
        Measures deadlines.
    log, metrics : DecisionLog, Metrics
        Where decisions and counts go.
    """

    __slots__ = (
        "_options",
        "_limiter",
        "_dispatcher",
        "_keyed",
        "_runner",
        "_availability",
        "_clock",
        "_log",
        "_metrics",
        "_routes",
        "_keys",
        "_workspaces",
    )

    def __init__(
        self,
        options: ProxyOptions,
        limiter: Limiter,
        dispatcher: Dispatcher,
        keyed: KeyedRequests,
        runner: KeyedRunner,
        availability: Availability,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._runner = runner
        self._availability = availability
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.configure(Config())

    def configure(self, cfg: Config, touched: frozenset[Kind] = ALL_KINDS) -> None:
        """Take over a revision of the configuration.

        Parameters
        ----------
        cfg : Config
            The revision.
        touched : frozenset of Kind
            Kinds of items that differ from the revision taken over before.
        """
        if touched & {Kind.ROUTE, Kind.SERVICE}:
            self._routes = RouteTable.from_config(cfg)
            self._runner.configure(self._routes)
        if Kind.KEY in touched:
            self._keys = KeyTable.from_config(cfg)
        if Kind.WORKSPACE in touched:
            self._workspaces = frozenset(w.name for w in cfg.workspaces)

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path.partition("?")[0] == self._options.balancer_check_path:
            return self._balancer_check()
        matched = self._routes.match(req.host, req.path, req.method)
        if matched.is_err():
            return self._miss(req, matched.err_value)
        match = matched.ok_value
        outcome = self._serve(req, match)
        if outcome.is_err():
            return self._refuse(match, outcome.err_value)
        return outcome.ok_value

    def _serve(self, req: Request, match: RouteMatch) -> Result[Response, Refused]:
        presented = presented_key(req.headers)
        identified = self._identify(presented, match)
        if identified.is_err():
            return identified
        workspace = identified.ok_value
        deadline = self._deadline(req, match)
        if deadline.is_err():
            return deadline
        refused = self._check_form(req, match, presented)
        refused = refused or self._check_rate(match, workspace)
        if refused is not None:
            return Err(refused)
        self._log.decision(
            "route", match.route.name, "longest prefix", workspace=workspace
        )
        try:
            recheck = partial(self._recheck, req, match, workspace, presented)
            return self._forward(req, match, workspace, deadline.ok_value, recheck)
        except RequestBodyError as exc:
            return Err(Refused.not_run(400, "bad-body", str(exc)))

    def _forward(
        self,
        req: Request,
        match: RouteMatch,
        workspace: str,
        deadline: float,
        recheck: Callable[[], Refused | None],
    ) -> Result[Response, Refused]:
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not match.route.is_idempotent(req.method):
            return self._submit(req, match, workspace, key, deadline, recheck)
        job = Job.from_request(
            req, match, workspace, deadline, self._options.replay_bytes
        )
        refused = recheck()
        if refused is not None:
            return Err(refused)
        return self._dispatcher.dispatch(job).map(_to_response)

    def _submit(
        self,
        req: Request,
        match: RouteMatch,
        workspace: str,
        key: str,
        deadline: float,
        recheck: Callable[[], Refused | None],
    ) -> Result[Response, Refused]:
        body = _read_at_most(req, self._options.keyed_body_bytes)
        if body is None:
            detail = "The body is too long for a request with a key."
            return Err(Refused.not_run(413, "body-too-large", detail))
        refused = recheck()
        if refused is not None:
            return Err(refused)
        request = KeyedRequest(
            workspace=workspace,
            key=key,
            route=match.route.name,
            method=req.method,
            path=req.path,
            headers=tuple(headers_to_target(req.headers)),
            body=body,
            timeout_s=max(0.0, deadline - self._clock.now()),
            host=req.host,
        )
        answer = to_response(self._keyed.submit(request))
        return Err(answer) if isinstance(answer, Refused) else Ok(answer)

    def _identify(
        self, presented: str | None, match: RouteMatch
    ) -> Result[str, Refused]:
        if match.route.open:
            return Ok("")
        if self._availability.is_isolated:
            detail = "This VM can't check keys now."
            return Err(Refused.not_run(503, "isolated", detail, self._retry_s))
        if presented is None:
            return Err(Refused.not_run(401, "no-key", "The route needs one key."))
        key = self._keys.find(presented)
        if key is None or key.workspace not in self._workspaces:
            return Err(Refused.not_run(401, "bad-key", "The key is not known."))
        if not match.admits(key.workspace):
            detail = "The key's workspace may not use this route."
            return Err(Refused.not_run(403, "wrong-workspace", detail))
        return Ok(key.workspace)

    def _recheck(
        self, req: Request, match: RouteMatch, workspace: str, presented: str | None
    ) -> Refused | None:
        """Check the key again after a body, which may have come slowly."""
        if req.body.bytes_read == 0:
            return None
        current = self._routes.match(req.host, req.path, req.method).ok()
        same_route = current is not None and current.route.name == match.route.name
        identified = self._identify(presented, current if same_route else match)
        if identified.is_err():
            return identified.err_value
        if same_route and identified.ok_value == workspace:
            return None
        detail = "The route or the key was changed while the body came."
        return Refused.not_run(503, "route-changed", detail, self._retry_s)

    def _deadline(self, req: Request, match: RouteMatch) -> Result[float, Refused]:
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return Ok(req.received_at + match.route.timeout_s)
        if not (text.isascii() and text.isdigit() and len(text) <= 12):
            detail = f"{DEADLINE_HEADER} must be whole milliseconds."
            return Err(Refused.not_run(400, "bad-deadline", detail))
        left_s = min(int(text) / 1000.0, self._options.max_deadline_s)
        return Ok(req.received_at + left_s)

    def _check_form(
        self, req: Request, match: RouteMatch, presented: str | None
    ) -> Refused | None:
        route = match.route
        if presented and shows_key(presented, req.path, req.headers):
            detail = "The key stands in the path or in a field that a target sees."
            return Refused.not_run(400, "key-exposed", detail)
        if route.is_idempotent(req.method):
            return None
        keys = set(req.headers.get_all(IDEMPOTENCY_KEY_HEADER))
        if len(keys) > 1:
            detail = f"The header {IDEMPOTENCY_KEY_HEADER} came with several values."
            return Refused.not_run(400, "idempotency-keys-differ", detail)
        if not route.require_idempotency_key or any(keys):
            return None
        detail = f"The route needs the header {IDEMPOTENCY_KEY_HEADER}."
        return Refused.not_run(400, "idempotency-key-missing", detail)

    def _check_rate(self, match: RouteMatch, workspace: str) -> Refused | None:
        wanted = self._limiter.bucket_ids(
            workspace, match.route.name, match.service.name
        )
        admission = self._limiter.admit(wanted)
        if admission.admitted:
            return None
        over_rate = admission.reason is RefusalReason.OVER_RATE
        return Refused.not_run(
            429 if over_rate else 503,
            admission.reason.value,
            f"The limit {admission.bucket_id} admits no request now.",
            admission.retry_after_s,
        )

    def _balancer_check(self) -> Response:
        ready = self._availability.is_ready
        headers = Headers((("Content-Type", "text/plain"),))
        if ready:
            return Response(200, headers, b"ready\n")
        return Response(503, headers, b"not ready\n")

    def _miss(self, req: Request, miss: RouteMiss) -> Response:
        self._log.decision("refuse", "no route", miss.failure.value, method=req.method)
        self._metrics.incr(f"refused.{miss.failure.value}")
        status = MISS_STATUS[miss.failure]
        response = Refused.not_run(status, miss.failure.value, miss.detail).response()
        if miss.allowed:
            response.headers.set("Allow", ", ".join(miss.allowed))
        return response

    def _refuse(self, match: RouteMatch, refused: Refused) -> Response:
        self._log.decision(
            "refuse", match.route.name, refused.reason, run=refused.run.value
        )
        self._metrics.incr(f"refused.{refused.reason}")
        return refused.response()

    @property
    def _retry_s(self) -> float:
        return self._options.unavailable_retry_s


def _read_at_most(req: Request, limit: int) -> bytes | None:
    """Return the whole body, or None when it is longer than `limit` bytes."""
    if (req.body.content_length or 0) > limit:
        return None
    blocks, size = [], 0
    for block in req.body:
        size += len(block)
        if size > limit:
            return None
        blocks.append(block)
    return b"".join(blocks)


def _to_response(answer: TargetResponse) -> Response:
    return Response(answer.status, answer.headers, answer, answer.reason)
