"""Idempotent execution of keyed requests, on entry VMs and on owners of keys.

The owner of a key runs the request in a separate greenlet, which continues when the
caller or the entry VM is gone.
"""

from collections.abc import Callable

import gevent
import msgspec
from result import Err, Result

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.claim import Claim, Listener
from lacewingpond.idempotency.claim_table import ClaimTable
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.messages import (
    ClaimFinished,
    ForwardPoll,
    ForwardReply,
    ForwardRequest,
    ForwardStatus,
)
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.idempotency.reply_future import ReplyFuture
from lacewingpond.idempotency.runner import Runner, RunResult
from lacewingpond.peers.base import Message, PeerError, PeerFailure
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.rendezvous import shard_of

OWNER_RETRY_S = 0.02
"""Pause before a retry while a shard has no owner during its handover."""
MAX_REPORT_ATTEMPTS = 10
"""Attempts of a former owner to report the end of a run to the new owner."""


class IdempotencyService:
    """Runs each keyed request at most once, whichever VM receives its repeats.

    Parameters
    ----------
    options : IdempotencyOptions
        Settings, equal on all VMs.
    ctx : ComponentContext
        Clock, peers, shards, log and metrics of this VM; counters are
        ``idempotency.*``.
    runner : Runner
        Sends requests to targets.
    """

    name = "idempotency"

    __slots__ = (
        "_options",
        "_vm_id",
        "_clock",
        "_channel",
        "_shards",
        "_runner",
        "_log",
        "_metrics",
        "_table",
        "_reply_futures",
        "_forward_id",
        "_running",
        "_handed_over",
    )

    def __init__(
        self, options: IdempotencyOptions, ctx: ComponentContext, runner: Runner
    ) -> None:
        self._options = options
        self._vm_id = ctx.vm_id
        self._clock = ctx.clock
        self._channel = ctx.channel
        self._shards = ctx.shards
        self._runner = runner
        self._log = ctx.log
        self._metrics = ctx.metrics
        self._table = ClaimTable(options, ctx.clock)
        self._reply_futures: dict[int, ReplyFuture] = {}
        self._forward_id = ctx.rng.getrandbits(48)
        self._running: set[Claim] = set()
        self._handed_over: set[Claim] = set()

    @classmethod
    def from_options(
        cls, options: IdempotencyOptions, ctx: ComponentContext, runner: Runner
    ) -> "IdempotencyService":
        """Create the service and register its message handlers."""
        service = cls(options, ctx, runner)
        ctx.channel.register(ForwardRequest, service._on_forward)
        ctx.channel.register(ForwardPoll, service._on_poll)
        ctx.channel.register(ForwardReply, service._on_reply)
        ctx.channel.register(ClaimFinished, service._on_finished)
        return service

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply to a keyed request; blocks while it runs."""
        refusal = self._validate(request)
        if refusal is not None:
            return self._record(refusal, request)
        # During a handover a shard has no owner for some milliseconds.
        retry_deadline = self._clock.now() + self._options.owner_wait_s
        reply = self._submit(request)
        while reply.kind is ReplyKind.NO_OWNER and self._clock.now() < retry_deadline:
            self._clock.sleep(OWNER_RETRY_S)
            reply = self._submit(request)
        return self._record(reply, request)

    def _submit(self, request: KeyedRequest) -> Reply:
        shard = shard_of(request.name, self._shards.shard_count)
        owner = self._shards.owner(shard)
        if owner is None:
            return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
        if owner.vm_id == self._vm_id:
            return self._submit_locally(shard, request)
        return self._submit_to_owner(shard, owner.vm_id, request)

    def release(self, shard: int) -> bytes:
        """Stop owning the shard's claims and return the state for the new owner.

        Requests that run here continue, and their results are reported to the new
        owner.
        """
        state, running = self._table.release(shard)
        self._handed_over.update(self._running.intersection(running))
        return state

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Start owning the shard's claims, from the former owner's state if any."""
        self._table.acquire(ownership, state)

    @property
    def running_count(self) -> int:
        """Number of requests that run here or whose end is not reported yet."""
        return len(self._running)

    @property
    def table(self) -> ClaimTable:
        """Claims of the shards that this VM owns."""
        return self._table

    def _validate(self, request: KeyedRequest) -> Reply | None:
        key = request.key
        if not 0 < len(key) <= self._options.max_key_chars or not key.isprintable():
            return Reply(ReplyKind.BAD_KEY, RunState.NOT_RUN)
        if len(request.body) > self._options.max_body_bytes:
            return Reply(ReplyKind.TOO_LARGE, RunState.NOT_RUN)
        return None

    def _record(self, reply: Reply, request: KeyedRequest) -> Reply:
        self._metrics.incr(f"idempotency.{reply.kind.value}")
        if reply.kind is not ReplyKind.ANSWER:
            self._log.decision(
                "idempotency",
                request.route,
                reply.kind.value,
                workspace=request.workspace,
                run=reply.run.value,
            )
        return reply

    def _submit_locally(self, shard: int, request: KeyedRequest) -> Reply:
        claim_or_reply = self._find_or_claim(shard, request)
        if claim_or_reply is None:
            return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
        if isinstance(claim_or_reply, Reply):
            return claim_or_reply
        if claim_or_reply.reply is not None:
            return _as_repeat(claim_or_reply.reply)
        future = ReplyFuture()
        claim_or_reply.subscribe(future)
        reply = future.wait(self._clock, self._wait_s(request))
        return reply or Reply(ReplyKind.STILL_RUNNING, RunState.UNKNOWN)

    def _find_or_claim(self, shard: int, request: KeyedRequest) -> Claim | Reply | None:
        """Return the claim on the key, running a new one, or a refusal.

        Returns
        -------
        Claim, Reply or None
            None when this VM does not own the shard.
        """
        ownership = self._shards.active_ownership(shard)
        if ownership is None or not self._table.has_shard(shard):
            return None
        existing = self._table.find_repeat(shard, request)
        if existing is not None:
            return existing
        if len(self._running) >= self._options.max_running:
            return Reply(ReplyKind.TOO_MANY_KEYS, RunState.NOT_RUN)
        claim = self._table.claim(shard, request)
        if isinstance(claim, Claim):
            self._running.add(claim)
            gevent.spawn(self._run, ownership, claim, request)
        return claim

    def _run(self, ownership: Ownership, claim: Claim, request: KeyedRequest) -> None:
        def may_send() -> bool:
            return self._may_send(ownership, claim)

        try:
            result = self._run_once(request, may_send)
            self._finish(ownership.shard, claim, _reply_of(result))
        finally:
            self._running.discard(claim)

    def _run_once(
        self, request: KeyedRequest, may_send: Callable[[], bool]
    ) -> RunResult:
        try:
            return self._runner.run(request, may_send)
        except Exception as exc:
            self._log.decision("idempotency", request.route, f"run failed: {exc!r}")
            return RunResult(RunState.UNKNOWN)

    def _may_send(self, ownership: Ownership, claim: Claim) -> bool:
        # The new owner keeps a handed-over claim as running and never runs it itself,
        # so this VM may still send the request.
        if claim in self._handed_over:
            return True
        active = self._shards.active_ownership(ownership.shard)
        return active is not None and active.epoch == ownership.epoch

    def _finish(self, shard: int, claim: Claim, reply: Reply) -> None:
        self._send_replies(self._table.finish(shard, claim, reply), reply)
        if claim in self._handed_over:
            self._handed_over.discard(claim)
            self._report_finished(
                ClaimFinished(shard, claim.name, claim.fingerprint, reply)
            )

    def _send_replies(self, listeners: tuple[Listener, ...], reply: Reply) -> None:
        for listener in listeners:
            self._channel.send(listener.vm_id, ForwardReply(listener.forward_id, reply))

    def _report_finished(self, message: ClaimFinished) -> None:
        """Report the result of a handed-over claim to the new owner."""
        for _ in range(MAX_REPORT_ATTEMPTS):
            owner = self._shards.owner(message.shard)
            if owner is not None and owner.vm_id == self._vm_id:
                self._on_finished(self._vm_id, message)
                return
            if owner is not None and self._send_finished(owner.vm_id, message):
                return
            self._clock.sleep(self._options.poll_s)

    def _send_finished(self, vm_id: str, message: ClaimFinished) -> bool:
        result = self._channel.call(vm_id, message, self._options.ack_timeout_s)
        status = result.ok()
        return isinstance(status, ForwardStatus) and status.owned

    def _submit_to_owner(self, shard: int, vm_id: str, request: KeyedRequest) -> Reply:
        sent_at = self._clock.now()
        reply = self._forward(shard, vm_id, request)
        is_late = self._clock.now() - sent_at >= self._options.not_run_hold_s
        if reply.run is RunState.NOT_RUN and is_late:
            # The owner may have freed the key and run a repeat since.
            return msgspec.structs.replace(reply, run=RunState.UNKNOWN)
        return reply

    def _forward(self, shard: int, vm_id: str, request: KeyedRequest) -> Reply:
        self._forward_id += 1
        forward_id = self._forward_id
        future = self._reply_futures[forward_id] = ReplyFuture()
        try:
            result = self._send(forward_id, shard, vm_id, request)
            if isinstance(result, Err):
                if result.err_value.failure is PeerFailure.NOT_SENT:
                    return Reply(ReplyKind.OWNER_UNREACHABLE, RunState.UNKNOWN)
            elif not result.ok_value.owned:
                return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
            elif result.ok_value.reply is not None:
                return result.ok_value.reply
            return self._wait_for_reply(forward_id, shard, request, future)
        finally:
            del self._reply_futures[forward_id]

    def _send(
        self, forward_id: int, shard: int, vm_id: str, request: KeyedRequest
    ) -> Result[ForwardStatus, PeerError]:
        message = ForwardRequest(forward_id, shard, request)
        timeout_s = self._options.ack_timeout_s
        result = self._channel.call(vm_id, message, timeout_s)
        owner = self._shards.owner(shard)
        has_moved = owner is not None and owner.vm_id not in (vm_id, self._vm_id)
        if has_moved and _was_not_claimed(result):
            result = self._channel.call(owner.vm_id, message, timeout_s)
        return result

    def _wait_for_reply(
        self, forward_id: int, shard: int, request: KeyedRequest, future: ReplyFuture
    ) -> Reply:
        poll = ForwardPoll(forward_id, shard, request.name, request.fingerprint())
        deadline = self._clock.now() + self._wait_s(request)
        while (left_s := deadline - self._clock.now()) > 0.0:
            reply = future.wait(self._clock, min(left_s, self._options.poll_s))
            reply = reply or self._poll_owner(shard, poll)
            if reply is not None:
                return reply
        return Reply(ReplyKind.OWNER_SILENT, RunState.UNKNOWN)

    def _poll_owner(self, shard: int, poll: ForwardPoll) -> Reply | None:
        owner = self._shards.owner(shard)
        if owner is None or owner.vm_id == self._vm_id:
            return None
        result = self._channel.call(owner.vm_id, poll, self._options.ack_timeout_s)
        status = result.ok()
        return status.reply if isinstance(status, ForwardStatus) else None

    def _wait_s(self, request: KeyedRequest) -> float:
        return request.timeout_s + self._options.extra_wait_s

    def _on_forward(self, vm_id: str, message: Message) -> ForwardStatus:
        claim_or_reply = self._find_or_claim(message.shard, message.request)
        if claim_or_reply is None:
            return ForwardStatus(owned=False)
        if isinstance(claim_or_reply, Reply):
            return ForwardStatus(owned=True, reply=claim_or_reply)
        if claim_or_reply.reply is not None:
            return ForwardStatus(owned=True, reply=_as_repeat(claim_or_reply.reply))
        claim_or_reply.listen(Listener(vm_id, message.forward_id))
        return ForwardStatus(owned=True)

    def _on_poll(self, vm_id: str, message: Message) -> ForwardStatus:
        if self._shards.active_ownership(message.shard) is None:
            return ForwardStatus(owned=False)
        claim = self._table.find(message.shard, message.name)
        if claim is None or claim.fingerprint != message.fingerprint:
            return ForwardStatus(owned=True)
        if claim.is_running:
            claim.listen(Listener(vm_id, message.forward_id))
        return ForwardStatus(owned=True, reply=claim.reply)

    def _on_reply(self, _vm_id: str, message: Message) -> None:
        future = self._reply_futures.get(message.forward_id)
        if future is not None:
            future.set_result(message.reply)

    def _on_finished(self, _vm_id: str, message: Message) -> ForwardStatus:
        if self._shards.active_ownership(message.shard) is None:
            return ForwardStatus(owned=False)
        claim = self._table.find(message.shard, message.name)
        is_same = claim is not None and claim.fingerprint == message.fingerprint
        if is_same and claim.is_running:
            listeners = self._table.finish(message.shard, claim, message.reply)
            self._send_replies(listeners, message.reply)
        return ForwardStatus(owned=True)


def _was_not_claimed(result: Result[ForwardStatus, PeerError]) -> bool:
    """Return whether the forwarded request certainly created no claim."""
    if isinstance(result, Err):
        return result.err_value.failure is PeerFailure.NOT_SENT
    return not result.ok_value.owned


def _reply_of(result: RunResult) -> Reply:
    if result.run is RunState.RAN and result.answer is not None:
        return Reply(ReplyKind.ANSWER, RunState.RAN, result.answer)
    return Reply(ReplyKind.FAILED, result.run, result.answer)


def _as_repeat(reply: Reply) -> Reply:
    return msgspec.structs.replace(reply, is_repeat=True)
