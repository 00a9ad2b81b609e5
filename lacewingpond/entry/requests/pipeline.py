"""Request pipeline of the entry daemon.

It consists of routing, authentication, rate check and delivery. The pipeline of the
standalone daemon is in `lacewingpond.proxy.pipeline`.
"""

import random
import sys
from collections.abc import Callable

import xxhash
from result import Err, Ok, Result

from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.token_shares import OVER_RATE
from lacewingpond.entry.relay.decision import (
    CONFIG_HEADER,
    DECISION_HEADER,
    RelayDecision,
    parse_decision,
)
from lacewingpond.entry.relay.headers import (
    ATTEMPTS_HEADER,
    RELAY_HEADER,
    RESPONSE,
    RelayRefusal,
    attempts_elsewhere,
)
from lacewingpond.entry.requests.delivery import DeliveryContext, EntryDelivery
from lacewingpond.entry.requests.prefixed_body import PrefixedBody
from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.store_view import StoreView
from lacewingpond.http.errors import RequestBodyError
from lacewingpond.http.headers import Headers
from lacewingpond.http.interrupt import RequestInterruptedError
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.proxy.buffered_body import BufferedBody
from lacewingpond.proxy.outgoing_body import OutgoingBody
from lacewingpond.quarantine.fingerprint import fingerprint
from lacewingpond.routing.forwarded_headers import headers_to_target
from lacewingpond.routing.keys import presented_key
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_BUFFERED_BODY_BYTES = 1_048_576  # longer bodies are streamed and sent only once
PROOF_WAIT_S = 0.2  # a peer responds in 2 ms, or in 0.15 s under load
UNAVAILABLE_RETRY_AFTER_S = 1.0  # a proof arrives sooner unless all peers are cut off
MAX_DEADLINE_S = 600.0  # callers of the platform wait no longer
MAX_ID_CHARS = 200


class EntryPipeline:
    """Handles the requests that the server receives from callers.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that are read and set.
    view : StoreView
        Source of the configuration.
    freshness : Freshness
        Proof that the configuration is recent enough to check keys.
    limiter : QuotaLimiter
        Checks the quotas of workspaces.
    context : DeliveryContext
        Components of deliveries.
    catch_up : callable
        Called with the id of a peer whose configuration is newer than this VM's.
    clock : Clock
        Time source.
    rng : random.Random
        Draws the services of traffic splits.
    log : DecisionLog
        Decision log.

    Attributes
    ----------
    running : set of EntryRequest
        Requests that are being delivered.
    stopping : bool
        Whether a planned stop has begun; relayed requests are then refused.
    """

    __slots__ = ("running", "stopping", "_names", "_view", "_freshness", "_limiter")
    __slots__ += ("_context", "_catch_up")
    __slots__ += ("_clock", "_rng", "_log", "_stripped_headers")

    def __init__(
        self,
        names: HeaderNames,
        view: StoreView,
        freshness: Freshness,
        limiter: QuotaLimiter,
        context: DeliveryContext,
        catch_up: Callable[[str], None],
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.running: set[EntryRequest] = set()
        self.stopping = False
        self._names = names
        self._view = view
        self._freshness = freshness
        self._limiter = limiter
        self._context = context
        self._catch_up = catch_up
        self._clock = clock
        self._rng = rng
        self._log = log
        self._stripped_headers = frozenset(
            name.lower()
            for name in (
                names.deadline_ms,
                names.expected_target,
                names.target_id,
                names.workspace,
                names.signature,
                names.not_run,
                ATTEMPTS_HEADER,
                RELAY_HEADER,
                DECISION_HEADER,
                "Authorization",
            )
        )

    def handle(self, req: Request) -> Response:
        """Return the response to one request, which may be a refusal.

        If the view has no valid proof of freshness, the request first waits for one,
        up to `PROOF_WAIT_S`.
        """
        request_id = req.headers.get(self._names.request_id) or ""
        try:
            outcome = self._process(req, request_id, relayed=False)
        except RequestInterruptedError:
            outcome = Err(EntryRefusal.stopping())
        if outcome.is_ok():
            return outcome.ok_value
        return self._refuse("refuse", request_id, outcome.err_value)

    def may_overlap(self, req: Request) -> bool:
        """Return whether a request may run beside others of its connection."""
        cfg = self._view.config
        route = cfg.route(req.host, req.path) if cfg is not None else None
        return route is not None and route.idempotent

    def handle_relayed(self, req: Request) -> Response:
        """Return the response to a request that another VM relays to this one.

        The relaying VM has decided how to handle it, and taken the token of the quota.
        A header tells it whether a target has responded.
        """
        request_id = req.headers.get(self._names.request_id) or ""
        if self._context.reach.lost:
            outcome = Err(_unavailable("no-path", "This VM reaches no target."))
        elif self.stopping:
            outcome = Err(EntryRefusal.stopping())
        else:
            try:
                outcome = self._carry(req, request_id)
            except RequestInterruptedError:
                outcome = Err(EntryRefusal.stopping())
        if outcome.is_ok():
            response = outcome.ok_value
            response.headers.set(RELAY_HEADER, RESPONSE)
        else:
            refusal = outcome.err_value
            response = self._refuse("refuse-relayed", request_id, refusal)
            relayed = RelayRefusal(refusal.run, refusal.reason)
            response.headers.set(RELAY_HEADER, relayed.encode())
        response.headers.set(CONFIG_HEADER, self._view.config_position.encode())
        return response

    def _carry(self, req: Request, request_id: str) -> Result[Response, EntryRefusal]:
        """Deliver a request as the VM that relays it has decided."""
        parsed = parse_decision(req.headers.get(DECISION_HEADER))
        if parsed.is_err():
            self._log.decision("relay", "decision", "invalid", error=parsed.err_value)
            return Err(_unavailable("bad-decision", "The relayed request is invalid."))
        decision = parsed.ok_value
        if decision is None:
            # The VM is of a build that leaves the decision to this one.
            return self._process(req, request_id, relayed=True)
        if self._view.config is None:
            return Err(_unavailable("no-config", "This VM has no configuration yet."))
        if decision.config > self._view.config_position:
            self._catch_up(decision.vm_id)
        key = presented_key(req.headers)
        if self._is_withdrawn(decision, key):
            return Err(EntryRefusal.not_run(401, "bad-key", "The key was withdrawn."))
        route = decision.entry_route(req.host)
        deadline = self._deadline(req, route)
        if deadline.is_err():
            return deadline
        valid_s = float("inf") if decision.valid_s is None else decision.valid_s
        valid_until = self._clock.boot() + valid_s
        ready = self._context.table.ready(decision.service)
        return self._deliver(
            req,
            request_id,
            route,
            decision.service,
            decision.workspace,
            deadline.ok_value,
            sys.maxsize,  # the VM that decided has checked the length
            lambda: self._may_carry(decision, key, valid_until),
            decision.config,
            is_relayed=True,
            excluded=decision.excluded(state.spec for state in ready),
            evacuated=frozenset(decision.evacuated),
        )

    def _may_carry(
        self, decision: RelayDecision, key: str | None, valid_until: float
    ) -> bool:
        """Return whether a relayed request may be sent to a target now."""
        if self._is_withdrawn(decision, key):
            return False
        if self._clock.boot() <= valid_until:
            return True
        is_current = self._view.config_position >= decision.config
        return is_current and self._freshness.is_fresh

    def _is_withdrawn(self, decision: RelayDecision, key: str | None) -> bool:
        """Return whether the key does not belong to its workspace any more.

        An older configuration than the one that the key was checked by can't tell.
        """
        cfg = self._view.config
        if not decision.workspace or not cfg.has_workspaces:
            return False
        if self._view.config_position < decision.config:
            return False
        owner = cfg.workspace_of(key) if key is not None else None
        return owner is None or owner.name != decision.workspace

    def _refuse(self, what: str, request_id: str, refusal: EntryRefusal) -> Response:
        self._log.decision(
            what,
            request_id[:MAX_ID_CHARS],
            refusal.reason,
            status=refusal.status,
            run=refusal.run.value,
            detail=refusal.detail,
            **refusal.evidence,
        )
        response = refusal.response()
        if request_id:
            response.headers.add(self._names.request_id, request_id)
        return response

    def _process(
        self, req: Request, request_id: str, relayed: bool
    ) -> Result[Response, EntryRefusal]:
        # A VM that was paused must first receive the changes that it missed. A proof
        # that is still missing then is a reason to refuse only where a key is needed.
        self._freshness.await_proof(PROOF_WAIT_S)
        cfg = self._view.config
        if cfg is None:
            return Err(_unavailable("no-config", "This VM has no configuration yet."))
        route = cfg.route(req.host, req.path)
        if route is None:
            detail = "No route matches this host and path."
            return Err(EntryRefusal.not_run(404, "no-route", detail))
        key = presented_key(req.headers)
        authenticated = self._authenticate(key, cfg, route)
        if authenticated.is_err():
            return authenticated
        workspace = authenticated.ok_value
        invalid = self._validate(req, cfg, request_id)
        if invalid is not None:
            return Err(invalid)
        deadline = self._deadline(req, route)
        if deadline.is_err():
            return deadline
        refused = None if relayed else self._check_rate(workspace)
        if refused is not None:
            return Err(refused)
        return self._deliver(
            req,
            request_id,
            route,
            self._draw_service(route),
            workspace.name if workspace is not None else "",
            deadline.ok_value,
            cfg.limits.body_bytes,
            lambda: self._may_send(req, route, workspace, key),
            self._view.config_position,
            relayed,
            priority=workspace.priority if workspace is not None else None,
        )

    def _deliver(
        self,
        req: Request,
        request_id: str,
        route: EntryRoute,
        service: str,
        workspace: str,
        deadline: float,
        max_body_bytes: int,
        may_send: Callable[[], bool],
        config: ConfigPosition,
        is_relayed: bool,
        excluded: frozenset[str] = frozenset(),
        evacuated: frozenset[str] = frozenset(),
        priority: int | None = None,
    ) -> Result[Response, EntryRefusal]:
        """Read the body of a request and deliver it, if it may still be sent."""
        try:
            body = _read_body(req, max_body_bytes)
        except RequestBodyError as exc:
            return Err(EntryRefusal.not_run(exc.status, "bad-body", exc.detail))
        if body is None:
            return Err(_too_large())
        if not req.body.is_empty and req.is_refused():
            # Its target would not respond before the end of the stop.
            return Err(EntryRefusal.stopping())
        routed = EntryRequest(
            request_id=request_id,
            route=route,
            service=service,
            workspace=workspace,
            method=req.method,
            path=req.path,
            headers=self._headers_to_target(req, workspace),
            body=body,
            deadline=deadline,
            fingerprint=_fingerprint(req, route, workspace, body),
            is_disconnected=req.is_disconnected,
            may_send=may_send,
            received_at=req.received_at,
            caller_headers=req.headers,
            config=config,
            is_relayed=is_relayed,
            attempts_elsewhere=attempts_elsewhere(req.headers) if is_relayed else 0,
            excluded=excluded,
            evacuated=evacuated,
            priority=priority,
            is_refused=req.is_refused,
        )
        if not may_send():
            return Err(
                _unavailable(
                    "keys-changed", "The route or the key changed, or can't be checked."
                )
            )
        self._log_route(routed)
        self.running.add(routed)
        try:
            refusal = self._context.admission.admit(routed)
            return (
                Err(refusal) if refusal else EntryDelivery(self._context, routed).run()
            )
        except RequestInterruptedError:
            self._log_cut(routed, "end of the stop grace")
            if not routed.may_have_run:
                return Err(EntryRefusal.stopping())
            detail = "This VM stops; the request may have run."
            return Err(EntryRefusal.unknown(504, "stopping", detail))
        finally:
            self.running.discard(routed)

    def log_running(self, why: str) -> None:
        """Log each request that is being delivered, as ``cut``, with `why`."""
        for routed in tuple(self.running):
            self._log_cut(routed, why)

    def _log_cut(self, routed: EntryRequest, why: str) -> None:
        now = self._clock.now()
        self._log.decision(
            "cut",
            routed.request_id,
            why,
            target=",".join(sorted(routed.targets)),
            run="unknown" if routed.may_have_run else "not-run",
            ms=round((now - routed.received_at) * 1000.0),
            left_ms=round((routed.deadline - now) * 1000.0),
        )

    def _authenticate(
        self, key: str | None, cfg: EntryConfig, route: EntryRoute
    ) -> Result[EntryWorkspace | None, EntryRefusal]:
        if route.public or not cfg.has_workspaces:
            return Ok(None)
        if not self._freshness.is_fresh:
            return Err(_unavailable("stale-keys", "This VM can't check keys now."))
        workspace = cfg.workspace_of(key) if key is not None else None
        if workspace is None:
            return Err(
                EntryRefusal.not_run(
                    401, "bad-key", "The route needs exactly one known key."
                )
            )
        return Ok(workspace)

    def _validate(
        self, req: Request, cfg: EntryConfig, request_id: str
    ) -> EntryRefusal | None:
        """Return the refusal of a bad id or of too long a declared body, or None."""
        if not request_id or len(request_id) > MAX_ID_CHARS:
            return EntryRefusal.not_run(
                400, "bad-id", "The request's id is missing or too long."
            )
        if len(req.headers.get_all(self._names.request_id)) != 1:
            return EntryRefusal.not_run(
                400, "bad-id", "The request has more than one id."
            )
        if (req.body.content_length or 0) > cfg.limits.body_bytes:
            return _too_large()
        return None

    def _deadline(self, req: Request, route: EntryRoute) -> Result[float, EntryRefusal]:
        text = req.headers.get(self._names.deadline_ms)
        left_s = MAX_DEADLINE_S
        if text is not None:
            if not (text.isascii() and text.isdigit() and len(text) <= 12):
                detail = (
                    f"{self._names.deadline_ms} must be a whole number of milliseconds."
                )
                return Err(EntryRefusal.not_run(400, "bad-deadline", detail))
            left_s = min(int(text) / 1000.0, left_s)
        return Ok(req.received_at + min(left_s, route.timeout_s))

    def _check_rate(self, workspace: EntryWorkspace | None) -> EntryRefusal | None:
        if workspace is None:
            return None
        admission = self._limiter.admit(workspace)
        if admission.admitted:
            return None
        status = 429 if admission.reason == OVER_RATE else 503
        detail = (
            f"Workspace {workspace.name} may send {workspace.rate:g} requests a second."
        )
        return EntryRefusal.not_run(
            status, admission.reason, detail, admission.retry_after_s
        )

    def _headers_to_target(self, req: Request, workspace: str) -> Headers:
        headers = Headers(
            (name, value)
            for name, value in headers_to_target(req.headers)
            if name.lower() not in self._stripped_headers
        )
        if workspace:
            headers.add(self._names.workspace, workspace)
        return headers

    def _may_send(
        self,
        req: Request,
        route: EntryRoute,
        workspace: EntryWorkspace | None,
        key: str | None,
    ) -> bool:
        """Return whether the route and the key are still valid just before sending.

        Either may have changed while the request waited.
        """
        cfg = self._view.config
        current = cfg.route(req.host, req.path)
        if current is not route and (current is None or current.split != route.split):
            return False
        if workspace is None:
            return route.public or not cfg.has_workspaces
        if not self._freshness.is_fresh:
            return False
        owner = cfg.workspace_of(key) if key is not None else None
        return owner is not None and owner.name == workspace.name

    def _draw_service(self, route: EntryRoute) -> str:
        if len(route.split) == 1:
            return route.split[0].service
        weights = [part.weight for part in route.split]
        return self._rng.choices(route.split, weights)[0].service

    def _log_route(self, routed: EntryRequest) -> None:
        self._log.decision(
            "route",
            routed.request_id,
            routed.route.name,
            service=routed.service,
            workspace=routed.workspace,
            version=routed.config.version,
            own_version=self._view.config_position.version,
            proof_age_s=round(self._freshness.age_s, 2),
            relayed=routed.is_relayed,
        )


def _too_large() -> EntryRefusal:
    return EntryRefusal.not_run(413, "body-too-large", "The body is too long.")


def _unavailable(reason: str, detail: str) -> EntryRefusal:
    return EntryRefusal.not_run(503, reason, detail, UNAVAILABLE_RETRY_AFTER_S)


def _fingerprint(
    req: Request,
    route: EntryRoute,
    workspace: str,
    body: OutgoingBody,
) -> str:
    if not isinstance(body, BufferedBody):
        return ""
    body_digest = xxhash.xxh3_128_digest(body.data)
    return fingerprint(workspace, route.name, req.method, req.path, body_digest)


def _read_body(req: Request, limit: int) -> OutgoingBody | None:
    """Return the body, buffered if it is short, or None if it exceeds `limit` bytes.

    Raises `RequestBodyError` if the body can't be read.
    """
    if req.body.is_empty:
        return BufferedBody(b"")
    length = req.body.content_length
    if length is not None and length > MAX_BUFFERED_BODY_BYTES:
        return PrefixedBody(req, b"", limit)
    blocks, size = [], 0
    for block in req.body:
        blocks.append(block)
        size += len(block)
        if size > limit:
            return None
        if size > MAX_BUFFERED_BODY_BYTES:
            return PrefixedBody(req, b"".join(blocks), limit)
    return BufferedBody(b"".join(blocks))
