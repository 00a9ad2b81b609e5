"""Sends requests through peers, for a VM that reaches no target."""

import random
from collections import Counter
from collections.abc import Callable

from result import Err, Ok

from lacewingpond.config.model import Target
from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.model.config_position import parse_config_position
from lacewingpond.entry.peers.protocol import DECISIONS_VERSION
from lacewingpond.entry.relay.decision import (
    CONFIG_HEADER,
    DECISION_HEADER,
    RelayDecision,
)
from lacewingpond.entry.relay.headers import (
    ATTEMPTS_HEADER,
    RELAY_HEADER,
    TARGET_HEADER,
    RelayRefusal,
    parse_relay_header,
    parse_target,
)
from lacewingpond.entry.relay.reach import Reach
from lacewingpond.entry.requests.forwarded_body import read_response
from lacewingpond.entry.requests.outcome import (
    FINAL_REASONS,
    NOT_RUN_STATUSES,
    AttemptFailure,
    FailureKind,
    Outcome,
    no_response_refusal,
    not_sent_refusal,
    unproven_refusal,
)
from lacewingpond.entry.requests.read_ahead import ReadAhead
from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.placer import SAME_DOMAIN_WEIGHT
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.http.run_state import RunState
from lacewingpond.routing.forwarded_headers import headers_to_peer
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import (
    SendError,
    SendFailure,
    SendReason,
    TruncatedResponseError,
)
from lacewingpond.targets.request import TargetRequest
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_PEERS = 3  # asked in turn, while none has sent the request on
CANDIDATES = 2  # power of two choices, as for targets
UNUSABLE_S = 2.0  # how long a peer that failed is not used
RETRY_AFTER_S = 1.0  # links or other VMs may be back
MAX_LOGGED_CHARS = 40  # of a header that can't be decoded
NO_ROUTE = "no-route"
LOCAL_REASONS = frozenset(
    {
        "stopping",
        "no-config",
        "stale-keys",
        "keys-changed",
        "no-path",
        "no-target",
        "targets-paused",
        "domain-evacuated",
        "bad-decision",
        NO_ROUTE,
    }
)
"""Reasons of refusals that concern the peer itself, so that another may serve."""


class RelaySender:
    """Picks a peer that reaches the targets and sends it a request of a caller.

    The peer delivers the request as this VM has decided, whichever configuration it
    has itself, and takes no token of the quota. It never relays the request further.
    One of a build that knows no decisions checks the key and routes the request again;
    it is used only if there is no other.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that are checked.
    reach : Reach
        Whether this VM and its peers reach the targets.
    statements : TargetStatements
        Receives what targets say of themselves.
    decide : callable
        Returns how a request is to be handled.
    catch_up : callable
        Called with the id of a peer whose configuration is newer than this VM's.
    view : StoreView
        Source of the members.
    vm_id, failure_domain : str
        This VM.
    client : TargetClient
        Sends requests to peers.
    clock : Clock
        Time source.
    rng : random.Random
        Draws peers.
    log : DecisionLog
        Log of relayed requests.
    read_ahead : ReadAhead or None
        Bounds the responses that are read ahead; None for a bound of its own.

    Attributes
    ----------
    reach : Reach
        Whether this VM and its peers reach the targets.
    """

    __slots__ = ("reach", "_names", "_view", "_vm_id", "_failure_domain", "_client")
    __slots__ += ("_clock", "_rng", "_log", "_in_flight", "_unusable_until")
    __slots__ += ("_statements", "_decide", "_catch_up", "_read_ahead")

    def __init__(
        self,
        names: HeaderNames,
        reach: Reach,
        statements: TargetStatements,
        decide: Callable[[EntryRequest], RelayDecision],
        catch_up: Callable[[str], None],
        view: StoreView,
        vm_id: str,
        failure_domain: str,
        client: TargetClient,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        read_ahead: ReadAhead | None = None,
    ) -> None:
        self.reach = reach
        self._read_ahead = read_ahead or ReadAhead()
        self._names = names
        self._statements = statements
        self._decide = decide
        self._catch_up = catch_up
        self._view = view
        self._vm_id = vm_id
        self._failure_domain = failure_domain
        self._client = client
        self._clock = clock
        self._rng = rng
        self._log = log
        self._in_flight: Counter[str] = Counter()
        self._unusable_until: dict[str, float] = {}

    def send(self, request: EntryRequest, attempts: int) -> Outcome:
        """Send a request through a peer, or through up to `MAX_PEERS` in turn.

        Another peer is tried only if this VM reaches no target, so that the targets may
        be up, and if the last peer proves that no target ran the request.

        Parameters
        ----------
        request : EntryRequest
            The request.
        attempts : int
            Attempts that were made before; they count towards those of the route.
        """
        tried: set[str] = set()
        outcome: Outcome = Err(_no_peer())
        max_peers = MAX_PEERS if self.reach.lost else 1
        while len(tried) < max_peers and request.body.can_send:
            vm_id = self._pick(tried)
            if vm_id is None:
                break
            tried.add(vm_id)
            outcome = self._send(request, vm_id, attempts)
            if outcome.is_ok() or not _may_try_another(outcome.err_value):
                break
        return outcome

    def _send(self, request: EntryRequest, vm_id: str, attempts: int) -> Outcome:
        started = self._clock.now()
        self._in_flight[vm_id] += 1
        why = "cancelled"
        try:
            outcome = self._exchange(request, vm_id, attempts)
            if outcome.is_ok():
                why = str(outcome.ok_value.status)
            else:
                why = outcome.err_value.refusal.reason
        finally:
            self._in_flight[vm_id] -= 1
            ms = round((self._clock.now() - started) * 1000.0)
            self._log.decision(
                "relay",
                request.request_id,
                why,
                via=vm_id,
                ms=ms,
                version=request.config.version,
            )
        return outcome

    def _exchange(self, request: EntryRequest, vm_id: str, attempts: int) -> Outcome:
        member = self._view.members[vm_id]
        peer = Target(vm_id, member.relay, member.failure_domain, 1)
        peer_request = _peer_request(request, attempts)
        if member.version >= DECISIONS_VERSION:
            decision = self._decide(request)
            peer_request.headers.set(DECISION_HEADER, decision.encode())
        sent = self._client.send(peer, peer_request, request.deadline)
        if sent.is_err():
            return Err(self._send_failure(vm_id, sent.err_value))
        response = sent.ok_value
        streaming = False
        try:
            response.set_deadline(request.deadline)
            self._compare_config(vm_id, response)
            outcome = self._handle_response(request, response)
            streaming = outcome.is_ok() and response.end is None
            return outcome
        except TruncatedResponseError as exc:
            status = 504 if exc.reason is SendReason.DEADLINE else 502
            return Err(_unknown(status, "answer-cut"))
        finally:
            if not streaming:
                response.close()

    def _compare_config(self, vm_id: str, response: TargetResponse) -> None:
        """Catch up with a peer that has a newer configuration."""
        position = parse_config_position(response.headers.get(CONFIG_HEADER))
        response.headers.remove(CONFIG_HEADER)
        if position is not None and position > self._view.config_position:
            self._catch_up(vm_id)

    def _handle_response(
        self, request: EntryRequest, response: TargetResponse
    ) -> Outcome:
        parsed = parse_relay_header(response.headers.get(RELAY_HEADER))
        if parsed.is_err():
            return Err(_unknown(502, "bad-answer"))
        refusal = parsed.ok_value
        if refusal is not None:
            ids = response.headers.get_all(self._names.request_id)
            if ids != [request.request_id]:
                return Err(_unknown(502, "bad-answer"))
            return Err(_refused(response, refusal, self._log))
        if not self._names.is_valid_response(response.headers, request.request_id):
            return Err(_unknown(502, "bad-answer"))
        if response.status in NOT_RUN_STATUSES:
            # From a peer of an earlier build, which does not ask for proof.
            refused = unproven_refusal(response.status)
            return Err(AttemptFailure(FailureKind.UNKNOWN, refused))
        target = parse_target(response.headers.get(TARGET_HEADER))
        if target is not None:
            self._statements.observe_relayed(target, response.status, response.headers)
        response.headers.remove(RELAY_HEADER)
        response.headers.remove(TARGET_HEADER)
        return Ok(read_response(response, self._read_ahead))

    def _send_failure(self, vm_id: str, error: SendError) -> AttemptFailure:
        reason = error.reason
        final = reason in FINAL_REASONS
        if not final and reason is not SendReason.CONNECTION_LIMIT:
            self._unusable_until[vm_id] = self._clock.now() + UNUSABLE_S
        if error.failure is SendFailure.UNKNOWN:
            refusal = no_response_refusal(reason)
            return AttemptFailure(FailureKind.UNKNOWN, refusal, final)
        if final:
            refusal = not_sent_refusal(reason, RETRY_AFTER_S)
            return AttemptFailure(FailureKind.NOT_SENT, refusal, final)
        return _no_peer()

    def _pick(self, tried: set[str]) -> str | None:
        """Return a peer that reaches the targets, or None if there is none."""
        now = self._clock.now()
        members = {
            vm_id: member
            for vm_id, member in self._view.members.items()
            if vm_id != self._vm_id
            and vm_id not in tried
            and member.relay
            and self.reach.peer_reaches(vm_id)
            and self._unusable_until.get(vm_id, now) <= now
        }
        if not members:
            return None
        knows_decisions = {
            k: m for k, m in members.items() if m.version >= DECISIONS_VERSION
        }
        members = knows_decisions or members
        peers = list(members)
        weights = [
            SAME_DOMAIN_WEIGHT if m.failure_domain == self._failure_domain else 1.0
            for m in members.values()
        ]
        drawn = self._rng.choices(peers, weights, k=CANDIDATES)
        return min(drawn, key=lambda vm_id: self._in_flight[vm_id])


def _peer_request(request: EntryRequest, attempts: int) -> TargetRequest:
    headers = headers_to_peer(request.caller_headers)
    headers.remove(DECISION_HEADER)  # a caller may have sent one
    headers.set(ATTEMPTS_HEADER, str(attempts))
    return TargetRequest(
        method=request.method,
        path=request.path,
        headers=headers,
        body=request.body.open(),
        content_length=request.body.content_length,
        idempotent=request.route.idempotent,
        is_disconnected=request.is_disconnected,
        may_send=request.may_send,
        # A peer on a connection that seems silent may be at work.
        on_overdue=_never,
    )


def _never() -> bool:
    return False


def _may_try_another(failure: AttemptFailure) -> bool:
    if failure.final or failure.kind is FailureKind.UNKNOWN:
        return False
    return _concerns_peer(failure.refusal.reason)


def _concerns_peer(reason: str) -> bool:
    """Return whether another peer may serve what one refused for `reason`."""
    return reason in LOCAL_REASONS or reason.startswith("unreached-")


def _refused(
    response: TargetResponse, refusal: RelayRefusal, log: DecisionLog
) -> AttemptFailure:
    """Return the failure for a refusal of the peer itself, as its caller sees it."""
    for _ in response:
        # Reads the body, so that the connection can be reused.
        pass
    if refusal.run is not RunState.NOT_RUN:
        return _unknown(response.status, refusal.reason)
    detail = "The VM that the request was relayed to refused it."
    retry_after_s = _retry_after_s(response, log)
    if refusal.reason == NO_ROUTE:
        # A peer that knows no decisions has an older configuration.
        return _no_peer()
    refused = EntryRefusal.not_run(
        response.status, refusal.reason, detail, retry_after_s
    )
    final = not _concerns_peer(refusal.reason)
    return AttemptFailure(FailureKind.NOT_RUN, refused, final)


def _retry_after_s(response: TargetResponse, log: DecisionLog) -> float | None:
    text = response.headers.get("Retry-After")
    try:
        return float(text) if text is not None else None
    except ValueError:
        # The peer is of another version; the caller may return when it likes.
        log.decision("relay", "Retry-After", "ignored", value=text[:MAX_LOGGED_CHARS])
        return None


def _no_peer() -> AttemptFailure:
    detail = "This VM reaches no target, and no other VM that does."
    refusal = EntryRefusal.not_run(503, "no-path", detail, RETRY_AFTER_S)
    return AttemptFailure(FailureKind.NOT_SENT, refusal)


def _unknown(status: int, reason: str) -> AttemptFailure:
    detail = "The request was relayed to another VM, which did not serve it."
    refusal = EntryRefusal.unknown(status, reason, detail)
    return AttemptFailure(FailureKind.UNKNOWN, refusal)
