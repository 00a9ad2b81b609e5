"""Request pipeline: routing, authorization, rate limits and delivery."""

from collections.abc import Callable
from functools import partial

from result import Err, Ok, Result

from lacewingpond.config.kinds import ALL_KINDS, ItemKind
from lacewingpond.config.model import Config
from lacewingpond.http.errors import RequestBodyError
from lacewingpond.http.headers import Headers
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.limits.admission import RefusalReason
from lacewingpond.proxy.availability import Availability
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.keyed_replies import to_response
from lacewingpond.proxy.keyed_requests import KeyedRequests
from lacewingpond.proxy.keyed_runner import KeyedRunner
from lacewingpond.proxy.limiter import Limiter
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refusal import Refusal
from lacewingpond.proxy.routed_request import IDEMPOTENCY_KEY_HEADER, RoutedRequest
from lacewingpond.routing.forwarded_headers import DEADLINE_HEADER, headers_to_target
from lacewingpond.routing.keys import KeyTable, exposes_key, presented_key
from lacewingpond.routing.match import RouteFailure, RouteMatch, RouteMiss
from lacewingpond.routing.routes import RouteTable
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

ROUTE_FAILURE_STATUS = {
    RouteFailure.NO_ROUTE: 404,
    RouteFailure.METHOD_NOT_ALLOWED: 405,
    RouteFailure.BAD_PATH: 400,
}


class Pipeline:
    """Handles the requests of callers.

    Parameters
    ----------
    options : ProxyOptions
        Limits of one request.
    limiter : Limiter
        Applies the fleet-wide rate limits.
    dispatcher : Dispatcher
        Delivers requests to targets.
    keyed : KeyedRequests
        Runs non-idempotent requests with an ``Idempotency-Key``.
    runner : KeyedRunner
        Runs the keyed requests that this VM owns.
    availability : Availability
        Tells whether this VM may serve requests.
    clock : Clock
        Measures deadlines.
    log, metrics : DecisionLog, Metrics
        Receive decisions and counts.
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

    def configure(
        self, cfg: Config, changed_kinds: frozenset[ItemKind] = ALL_KINDS
    ) -> None:
        """Apply a revision of the configuration.

        Parameters
        ----------
        cfg : Config
            The revision.
        changed_kinds : frozenset of ItemKind
            Kinds of items that differ from the revision applied before.
        """
        if changed_kinds & {ItemKind.ROUTE, ItemKind.SERVICE}:
            self._routes = RouteTable.from_config(cfg)
            self._runner.configure(self._routes)
        if ItemKind.KEY in changed_kinds:
            self._keys = KeyTable.from_config(cfg)
        if ItemKind.WORKSPACE in changed_kinds:
            self._workspaces = frozenset(w.name for w in cfg.workspaces)

    def handle(self, req: Request) -> Response:
        """Return the response to one request."""
        if req.path.partition("?")[0] == self._options.balancer_check_path:
            return self._balancer_check()
        matched = self._routes.match(req.host, req.path, req.method)
        if matched.is_err():
            return self._refuse_unrouted(req, matched.err_value)
        match = matched.ok_value
        outcome = self._process(req, match)
        if outcome.is_err():
            return self._refuse(match, outcome.err_value)
        return outcome.ok_value

    def _process(self, req: Request, match: RouteMatch) -> Result[Response, Refusal]:
        presented = presented_key(req.headers)
        authorized = self._authorize(presented, match)
        if authorized.is_err():
            return authorized
        workspace = authorized.ok_value
        deadline = self._deadline(req, match)
        if deadline.is_err():
            return deadline
        refusal = self._validate(req, match, presented)
        refusal = refusal or self._check_rate(match, workspace)
        if refusal is not None:
            return Err(refusal)
        self._log.decision(
            "route", match.route.name, "longest prefix", workspace=workspace
        )
        try:
            reauthorize = partial(self._reauthorize, req, match, workspace, presented)
            return self._forward(req, match, workspace, deadline.ok_value, reauthorize)
        except RequestBodyError as exc:
            return Err(Refusal.not_run(400, "bad-body", str(exc)))

    def _forward(
        self,
        req: Request,
        match: RouteMatch,
        workspace: str,
        deadline: float,
        reauthorize: Callable[[], Refusal | None],
    ) -> Result[Response, Refusal]:
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not match.route.is_idempotent(req.method):
            return self._forward_keyed(
                req, match, workspace, key, deadline, reauthorize
            )
        routed = RoutedRequest.from_request(
            req, match, workspace, deadline, self._options.replay_bytes
        )
        refusal = reauthorize()
        if refusal is not None:
            return Err(refusal)
        return self._dispatcher.dispatch(routed).map(_streamed_response)

    def _forward_keyed(
        self,
        req: Request,
        match: RouteMatch,
        workspace: str,
        key: str,
        deadline: float,
        reauthorize: Callable[[], Refusal | None],
    ) -> Result[Response, Refusal]:
        body = _read_at_most(req, self._options.keyed_body_bytes)
        if body is None:
            detail = "The body is too long for a request with an idempotency key."
            return Err(Refusal.not_run(413, "body-too-large", detail))
        refusal = reauthorize()
        if refusal is not None:
            return Err(refusal)
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
        reply = to_response(self._keyed.submit(request))
        return Err(reply) if isinstance(reply, Refusal) else Ok(reply)

    def _authorize(
        self, presented: str | None, match: RouteMatch
    ) -> Result[str, Refusal]:
        if match.route.open:
            return Ok("")
        if self._availability.is_isolated:
            detail = "This VM is isolated and can't check keys."
            return Err(Refusal.not_run(503, "isolated", detail, self._retry_s))
        if presented is None:
            return Err(
                Refusal.not_run(401, "no-key", "The route needs exactly one key.")
            )
        key = self._keys.find(presented)
        if key is None or key.workspace not in self._workspaces:
            return Err(Refusal.not_run(401, "bad-key", "The key is unknown."))
        if not match.allows(key.workspace):
            detail = "The key's workspace may not use this route."
            return Err(Refusal.not_run(403, "wrong-workspace", detail))
        return Ok(key.workspace)

    def _reauthorize(
        self, req: Request, match: RouteMatch, workspace: str, presented: str | None
    ) -> Refusal | None:
        """Check route and key again after the body was read.

        The configuration may have changed while the body arrived.
        """
        if req.body.bytes_read == 0:
            return None
        current = self._routes.match(req.host, req.path, req.method).ok()
        same_route = current is not None and current.route.name == match.route.name
        authorized = self._authorize(presented, current if same_route else match)
        if authorized.is_err():
            return authorized.err_value
        if same_route and authorized.ok_value == workspace:
            return None
        detail = "The route or the key changed while the body was received."
        return Refusal.not_run(503, "route-changed", detail, self._retry_s)

    def _deadline(self, req: Request, match: RouteMatch) -> Result[float, Refusal]:
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return Ok(req.received_at + match.route.timeout_s)
        if not (text.isascii() and text.isdigit() and len(text) <= 12):
            detail = f"{DEADLINE_HEADER} must be a whole number of milliseconds."
            return Err(Refusal.not_run(400, "bad-deadline", detail))
        left_s = min(int(text) / 1000.0, self._options.max_deadline_s)
        return Ok(req.received_at + left_s)

    def _validate(
        self, req: Request, match: RouteMatch, presented: str | None
    ) -> Refusal | None:
        route = match.route
        if presented and exposes_key(presented, req.path, req.headers):
            detail = "The key is in the path or in a header that is sent to the target."
            return Refusal.not_run(400, "key-exposed", detail)
        if route.is_idempotent(req.method):
            return None
        keys = set(req.headers.get_all(IDEMPOTENCY_KEY_HEADER))
        if len(keys) > 1:
            detail = f"The header {IDEMPOTENCY_KEY_HEADER} has several values."
            return Refusal.not_run(400, "idempotency-keys-differ", detail)
        if not route.require_idempotency_key or any(keys):
            return None
        detail = f"The route requires the header {IDEMPOTENCY_KEY_HEADER}."
        return Refusal.not_run(400, "idempotency-key-missing", detail)

    def _check_rate(self, match: RouteMatch, workspace: str) -> Refusal | None:
        buckets = self._limiter.bucket_ids(
            workspace, match.route.name, match.service.name
        )
        admission = self._limiter.admit(buckets)
        if admission.admitted:
            return None
        over_rate = admission.reason is RefusalReason.OVER_RATE
        return Refusal.not_run(
            429 if over_rate else 503,
            admission.reason.value,
            f"The rate limit {admission.bucket_id} admits no request now.",
            admission.retry_after_s,
        )

    def _balancer_check(self) -> Response:
        ready = self._availability.is_ready
        headers = Headers((("Content-Type", "text/plain"),))
        if ready:
            return Response(200, headers, b"ready\n")
        return Response(503, headers, b"not ready\n")

    def _refuse_unrouted(self, req: Request, miss: RouteMiss) -> Response:
        self._log.decision("refuse", "no route", miss.failure.value, method=req.method)
        self._metrics.incr(f"refused.{miss.failure.value}")
        status = ROUTE_FAILURE_STATUS[miss.failure]
        response = Refusal.not_run(status, miss.failure.value, miss.detail).response()
        if miss.allowed:
            response.headers.set("Allow", ", ".join(miss.allowed))
        return response

    def _refuse(self, match: RouteMatch, refusal: Refusal) -> Response:
        self._log.decision(
            "refuse", match.route.name, refusal.reason, run=refusal.run.value
        )
        self._metrics.incr(f"refused.{refusal.reason}")
        return refusal.response()

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


def _streamed_response(response: TargetResponse) -> Response:
    return Response(response.status, response.headers, response, response.reason)
