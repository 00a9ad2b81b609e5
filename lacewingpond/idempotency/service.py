"""Keyed requests as the daemon uses them, on entry VMs and on owners of keys.

The owner of a key runs the request in a greenlet of its own, which goes on when
the caller or the entry VM is gone.
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
from lacewingpond.idempotency.reply_future import Mailbox
from lacewingpond.idempotency.runner import Runner, RunResult
from lacewingpond.peers.base import Message, PeerError, PeerFailure
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.part_context import PartContext
from lacewingpond.util.rendezvous import shard_of

OWNER_RETRY_S = 0.02
"""Pause before the owner of a shard in transfer is looked for again."""
REPORT_TRIES = 10
"""Times that a former owner tries to report the end of a run."""


class IdempotencyService:
    """Runs each keyed request at most once, whichever VM its repeats reach.

    Parameters
    ----------
    options : IdempotencyOptions
        Settings, equal on all VMs.
    ctx : PartContext
        The VM; its metrics get counters ``idempotency.*``.
    runner : Runner
        Sends a request to a target.
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
        "_waiting",
        "_forward_id",
        "_running",
        "_departed",
    )

    def __init__(
        self, options: IdempotencyOptions, ctx: PartContext, runner: Runner
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
        self._waiting: dict[int, Mailbox] = {}
        self._forward_id = ctx.rng.getrandbits(48)
        self._running: set[Claim] = set()
        self._departed: set[Claim] = set()

    @classmethod
    def from_options(
        cls, options: IdempotencyOptions, ctx: PartContext, runner: Runner
    ) -> "IdempotencyService":
        """Create the service and let it take its messages."""
        service = cls(options, ctx, runner)
        ctx.channel.register(ForwardRequest, service._on_forward)
        ctx.channel.register(ForwardPoll, service._on_poll)
        ctx.channel.register(ForwardReply, service._on_reply)
        ctx.channel.register(ClaimFinished, service._on_finished)
        return service

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply to a keyed request; blocks while it runs."""
        refusal = self._early_refusal(request)
        if refusal is not None:
            return self._counted(refusal, request)
        # A hand-over leaves a shard without an owner for some milliseconds.
        give_up_at = self._clock.now() + self._options.owner_wait_s
        reply = self._submit(request)
        while reply.kind is ReplyKind.NO_OWNER and self._clock.now() < give_up_at:
            self._clock.sleep(OWNER_RETRY_S)
            reply = self._submit(request)
        return self._counted(reply, request)

    def _submit(self, request: KeyedRequest) -> Reply:
        shard = shard_of(request.name, self._shards.shard_count)
        owner = self._shards.owner(shard)
        if owner is None:
            return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
        if owner.vm_id == self._vm_id:
            return self._submit_here(shard, request)
        return self._submit_there(shard, owner.vm_id, request)

    def release(self, shard: int) -> bytes:
        """Give the shard's claims up; requests that run here still end here."""
        state, running = self._table.release(shard)
        self._departed.update(self._running.intersection(running))
        return state

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Take the shard's claims over."""
        self._table.adopt(ownership, state)

    @property
    def running(self) -> int:
        """Requests that run here or whose end the new owner has not been told."""
        return len(self._running)

    @property
    def table(self) -> ClaimTable:
        """The claims that this VM keeps."""
        return self._table

    def _early_refusal(self, request: KeyedRequest) -> Reply | None:
        key = request.key
        if not 0 < len(key) <= self._options.max_key_chars or not key.isprintable():
            return Reply(ReplyKind.BAD_KEY, RunState.NOT_RUN)
        if len(request.body) > self._options.max_body_bytes:
            return Reply(ReplyKind.TOO_LARGE, RunState.NOT_RUN)
        return None

    def _counted(self, reply: Reply, request: KeyedRequest) -> Reply:
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

    def _submit_here(self, shard: int, request: KeyedRequest) -> Reply:
        taken = self._take(shard, request)
        if taken is None:
            return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
        if isinstance(taken, Reply):
            return taken
        if taken.reply is not None:
            return _repeated(taken.reply)
        mailbox = Mailbox()
        taken.subscribe(mailbox)
        reply = mailbox.get(self._clock, self._wait_s(request))
        return reply or Reply(ReplyKind.STILL_RUNNING, RunState.UNKNOWN)

    def _take(self, shard: int, request: KeyedRequest) -> Claim | Reply | None:
        """Find or make the claim; None when this VM must not decide."""
        ownership = self._shards.owned(shard)
        if ownership is None or not self._table.has_shard(shard):
            return None
        older = self._table.repeat(shard, request)
        if older is not None:
            return older
        if len(self._running) >= self._options.max_running:
            return Reply(ReplyKind.FULL, RunState.NOT_RUN)
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
        # The new owner holds a handed-over claim as running and never runs it,
        # so the former owner may still send it.
        if claim in self._departed:
            return True
        now_owned = self._shards.owned(ownership.shard)
        return now_owned is not None and now_owned.epoch == ownership.epoch

    def _finish(self, shard: int, claim: Claim, reply: Reply) -> None:
        self._tell(self._table.finish(shard, claim, reply), reply)
        if claim in self._departed:
            self._departed.discard(claim)
            self._report(ClaimFinished(shard, claim.name, claim.fingerprint, reply))

    def _tell(self, listeners: tuple[Listener, ...], reply: Reply) -> None:
        for listener in listeners:
            self._channel.send(listener.vm_id, ForwardReply(listener.forward_id, reply))

    def _report(self, message: ClaimFinished) -> None:
        """Tell the new owner how a handed-over run ended."""
        for _ in range(REPORT_TRIES):
            owner = self._shards.owner(message.shard)
            if owner is not None and owner.vm_id == self._vm_id:
                self._on_finished(self._vm_id, message)
                return
            if owner is not None and self._reported(owner.vm_id, message):
                return
            self._clock.sleep(self._options.poll_s)

    def _reported(self, vm_id: str, message: ClaimFinished) -> bool:
        result = self._channel.call(vm_id, message, self._options.ack_timeout_s)
        status = result.ok()
        return isinstance(status, ForwardStatus) and status.owned

    def _submit_there(self, shard: int, vm_id: str, request: KeyedRequest) -> Reply:
        asked_at = self._clock.now()
        reply = self._forward(shard, vm_id, request)
        is_late = self._clock.now() - asked_at >= self._options.not_run_hold_s
        if reply.run is RunState.NOT_RUN and is_late:
            # The owner may have freed the key and run a repeat meanwhile.
            return msgspec.structs.replace(reply, run=RunState.UNKNOWN)
        return reply

    def _forward(self, shard: int, vm_id: str, request: KeyedRequest) -> Reply:
        self._forward_id += 1
        forward_id = self._forward_id
        mailbox = self._waiting[forward_id] = Mailbox()
        try:
            result = self._send(forward_id, shard, vm_id, request)
            if isinstance(result, Err):
                if result.err_value.failure is PeerFailure.NOT_SENT:
                    return Reply(ReplyKind.NOT_SENT, RunState.UNKNOWN)
            elif not result.ok_value.owned:
                return Reply(ReplyKind.NO_OWNER, RunState.UNKNOWN)
            elif result.ok_value.reply is not None:
                return result.ok_value.reply
            return self._await(forward_id, shard, request, mailbox)
        finally:
            del self._waiting[forward_id]

    def _send(
        self, forward_id: int, shard: int, vm_id: str, request: KeyedRequest
    ) -> Result[ForwardStatus, PeerError]:
        message = ForwardRequest(forward_id, shard, request)
        timeout_s = self._options.ack_timeout_s
        result = self._channel.call(vm_id, message, timeout_s)
        owner = self._shards.owner(shard)
        moved = owner is not None and owner.vm_id not in (vm_id, self._vm_id)
        if moved and _ran_nothing(result):
            result = self._channel.call(owner.vm_id, message, timeout_s)
        return result

    def _await(
        self, forward_id: int, shard: int, request: KeyedRequest, mailbox: Mailbox
    ) -> Reply:
        poll = ForwardPoll(forward_id, shard, request.name, request.fingerprint())
        deadline = self._clock.now() + self._wait_s(request)
        while (left_s := deadline - self._clock.now()) > 0.0:
            reply = mailbox.get(self._clock, min(left_s, self._options.poll_s))
            reply = reply or self._polled(shard, poll)
            if reply is not None:
                return reply
        return Reply(ReplyKind.NO_REPLY, RunState.UNKNOWN)

    def _polled(self, shard: int, poll: ForwardPoll) -> Reply | None:
        owner = self._shards.owner(shard)
        if owner is None or owner.vm_id == self._vm_id:
            return None
        result = self._channel.call(owner.vm_id, poll, self._options.ack_timeout_s)
        status = result.ok()
        return status.reply if isinstance(status, ForwardStatus) else None

    def _wait_s(self, request: KeyedRequest) -> float:
        return request.timeout_s + self._options.extra_wait_s

    def _on_forward(self, vm_id: str, message: Message) -> ForwardStatus:
        taken = self._take(message.shard, message.request)
        if taken is None:
            return ForwardStatus(owned=False)
        if isinstance(taken, Reply):
            return ForwardStatus(owned=True, reply=taken)
        if taken.reply is not None:
            return ForwardStatus(owned=True, reply=_repeated(taken.reply))
        taken.listen(Listener(vm_id, message.forward_id))
        return ForwardStatus(owned=True)

    def _on_poll(self, vm_id: str, message: Message) -> ForwardStatus:
        if self._shards.owned(message.shard) is None:
            return ForwardStatus(owned=False)
        claim = self._table.find(message.shard, message.name)
        if claim is None or claim.fingerprint != message.fingerprint:
            return ForwardStatus(owned=True)
        if claim.is_running:
            claim.listen(Listener(vm_id, message.forward_id))
        return ForwardStatus(owned=True, reply=claim.reply)

    def _on_reply(self, _vm_id: str, message: Message) -> None:
        mailbox = self._waiting.get(message.forward_id)
        if mailbox is not None:
            mailbox.put(message.reply)

    def _on_finished(self, _vm_id: str, message: Message) -> ForwardStatus:
        if self._shards.owned(message.shard) is None:
            return ForwardStatus(owned=False)
        claim = self._table.find(message.shard, message.name)
        is_same = claim is not None and claim.fingerprint == message.fingerprint
        if is_same and claim.is_running:
            listeners = self._table.finish(message.shard, claim, message.reply)
            self._tell(listeners, message.reply)
        return ForwardStatus(owned=True)


def _ran_nothing(result: Result[ForwardStatus, PeerError]) -> bool:
    """Return whether the asked VM provably took no claim."""
    if isinstance(result, Err):
        return result.err_value.failure is PeerFailure.NOT_SENT
    return not result.ok_value.owned


def _reply_of(result: RunResult) -> Reply:
    if result.run is RunState.RAN and result.answer is not None:
        return Reply(ReplyKind.ANSWER, RunState.RAN, result.answer)
    return Reply(ReplyKind.FAILED, result.run, result.answer)


def _repeated(reply: Reply) -> Reply:
    return msgspec.structs.replace(reply, is_repeat=True)
