"""Requests for tokens from slice owners, and handling of their answers."""

from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.allowance_table import AllowanceTable
from lacewingpond.limits.held_grant import HeldGrant
from lacewingpond.limits.messages import GrantAnswer, GrantAsk
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.owner_backoff import OwnerBackoff
from lacewingpond.limits.pending_grant_request import PendingGrantRequest
from lacewingpond.limits.pending_grant_requests import PendingGrantRequests
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.limits.token_returner import TokenReturner
from lacewingpond.peers.base import Message, PeerChannel
from lacewingpond.shards.base import ShardView
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

RETURN_TTL_RATIO = 0.75
"""Part of a grant's time to live after which unused tokens are returned."""
NO_OWNER_RETRY_S = 0.1
"""Time for which a shard without a reachable owner is not asked."""


class GrantClient:
    """Requests tokens and adds the granted ones to the allowances.

    Requests are sent without blocking; each answer arrives as a separate message.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    vm_id : str
        This VM.
    clock : Clock
        Source of time.
    channel : PeerChannel
        Sends messages to other VMs.
    shards : ShardView
        Owners of the shards.
    owner : SliceOwner
        Grants from the slices that this VM owns.
    allowances : AllowanceTable
        Tokens that this VM holds.
    returner : TokenReturner
        Returns unused tokens.
    first_seq : int
        Sequence number before that of the first request.
    log : DecisionLog
        Records owners that stop answering.
    metrics : Metrics
        Counts ``limits.asks``.
    """

    __slots__ = ("_options", "_vm_id", "_clock", "_channel", "_shards", "_owner")
    __slots__ += (
        "_allowances",
        "_returner",
        "_log",
        "_metrics",
        "_pending",
        "_backoff",
    )

    def __init__(
        self,
        options: LimitOptions,
        vm_id: str,
        clock: Clock,
        channel: PeerChannel,
        shards: ShardView,
        owner: SliceOwner,
        allowances: AllowanceTable,
        returner: TokenReturner,
        first_seq: int,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._vm_id = vm_id
        self._clock = clock
        self._channel = channel
        self._shards = shards
        self._owner = owner
        self._allowances = allowances
        self._returner = returner
        self._log = log
        self._metrics = metrics
        self._pending = PendingGrantRequests(options, first_seq)
        self._backoff = OwnerBackoff(options)

    def has_pending(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self._pending)

    def prefetch(self, allowance: Allowance, now: float) -> None:
        """Request tokens ahead of need when the expected demand is high enough."""
        if now < allowance.prefetch_after:
            return
        prefetch = allowance.prefetch_wanted(now)
        if not prefetch:
            return
        ttl_s = allowance.bucket.prefetch_ttl_s(self._options)
        allowance.prefetch_after = now + ttl_s / 8.0
        self._request_from_next_slice(allowance, 0, prefetch, now)

    def request_for_waiters(self, allowance: Allowance, now: float) -> None:
        """Request the tokens that waiting requests lack."""
        need = allowance.deficit(now)
        while need > 0:
            prefetch = allowance.prefetch_wanted(now)
            if not self._request_from_next_slice(allowance, need, prefetch, now):
                return
            need = allowance.deficit(now)

    def on_answer(self, vm_id: str, message: Message) -> None:
        """Handle the answer to a grant request."""
        request = self._pending.find(message.seq)
        if request is None or request.vm_id != vm_id:
            return
        self._backoff.record_response(vm_id)
        self._close(message.seq, request)
        allowance = self._allowances.find(request.bucket_id)
        if allowance is None:
            return
        self._apply_answer(allowance, request, message)
        allowance.wake()

    def expire_late(self, now: float) -> None:
        """Mark requests without an answer in time as late.

        Their tokens no longer count as in flight, and their owners may back off.
        """
        for request in self._pending.take_late(now):
            self._subtract_in_flight(request)
            if self._backoff.record_timeout(request.vm_id, now):
                self._log.decision(
                    "limits-owner", request.vm_id, "does not respond to grant requests"
                )

    def drop_former_owners(self) -> None:
        """Drop the backoff of VMs that own no shard any more."""
        owners = map(self._shards.owner, range(self._shards.shard_count))
        self._backoff.retain(frozenset(owner.vm_id for owner in owners if owner))

    def _request_from_next_slice(
        self, allowance: Allowance, need: int, prefetch: int, now: float
    ) -> bool:
        """Send a request to the next available slice; False when there is none."""
        while (shard := allowance.next_shard(now)) is not None:
            owner = self._shards.owner(shard)
            if owner is None:
                allowance.back_off(shard, now + NO_OWNER_RETRY_S, unreachable=True)
                continue
            blocked_until = self._backoff.blocked_until(owner.vm_id)
            if blocked_until > now:
                allowance.back_off(shard, blocked_until, unreachable=True)
                continue
            if self._send_request(allowance, shard, owner.vm_id, need, prefetch):
                return True
            allowance.back_off(shard, now + NO_OWNER_RETRY_S, unreachable=True)
        return False

    def _send_request(
        self, allowance: Allowance, shard: int, vm_id: str, need: int, prefetch: int
    ) -> bool:
        seq = self._pending.next_seq()
        bucket_id = allowance.bucket.bucket_id
        ended = allowance.pop_ended(shard)
        message = GrantAsk(shard, bucket_id, seq, need, prefetch, ended)
        request = PendingGrantRequest(
            bucket_id, shard, vm_id, self._clock.now(), need, prefetch
        )
        if vm_id == self._vm_id:
            self._apply_answer(allowance, request, self._owner.grant(vm_id, message))
            return True
        self._pending.add(seq, request)
        allowance.in_flight_need += need
        allowance.in_flight_prefetch += prefetch
        self._metrics.incr("limits.asks")
        if self._channel.send(vm_id, message):
            return True
        self._close(seq, request)
        return False

    def _close(self, seq: int, request: PendingGrantRequest) -> None:
        """Close a request that was answered or could not be sent."""
        if self._pending.close(seq):
            self._subtract_in_flight(request)

    def _subtract_in_flight(self, request: PendingGrantRequest) -> None:
        """Stop counting the tokens of a request as in flight."""
        allowance = self._allowances.find(request.bucket_id)
        if allowance is None:
            return
        allowance.in_flight_need = max(allowance.in_flight_need - request.need, 0)
        allowance.in_flight_prefetch = max(
            allowance.in_flight_prefetch - request.prefetch, 0
        )

    def _apply_answer(
        self, allowance: Allowance, request: PendingGrantRequest, answer: GrantAnswer
    ) -> None:
        now = self._clock.now()
        if not answer.owned:
            until = now + NO_OWNER_RETRY_S
            allowance.back_off(request.shard, until, unreachable=True)
        elif answer.retry_after_ms:
            allowance.back_off(request.shard, now + answer.retry_after_ms / 1000.0)
        elif not answer.amount:
            # The slice has no tokens to spare, so prefetching pauses until the
            # demand has had time to change.
            ttl_s = allowance.bucket.prefetch_ttl_s(self._options)
            allowance.prefetch_after = now + ttl_s / 2.0
        self._add_grant(allowance, request, answer, now)

    def _add_grant(
        self,
        allowance: Allowance,
        request: PendingGrantRequest,
        answer: GrantAnswer,
        now: float,
    ) -> None:
        # This VM counts the time to live from its request and the owner from its
        # answer. Shortening it by the drift of both clocks makes sure that the grant
        # ends here before it ends at the owner.
        drift = 1.0 - 2.0 * self._options.max_clock_drift
        ttl_s = answer.ttl_ms / 1000.0 * drift
        expires_at = request.sent_at + ttl_s
        if answer.amount <= 0 or expires_at <= now:
            return
        return_at = request.sent_at + ttl_s * RETURN_TTL_RATIO
        grant = HeldGrant(
            request.shard, answer.seq, answer.amount, expires_at, return_at
        )
        allowance.add(grant)
        self._returner.schedule(request.bucket_id, return_at)
