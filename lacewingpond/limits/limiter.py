"""Fleet-wide limits as the daemon uses them.

Admission takes a token that this VM holds. Asks are sent without waiting and
answered by messages of their own, so no greenlet is needed for each bucket or
owner; one timer greenlet runs while there is traffic.
"""

import heapq
import random

import gevent

from lacewingpond.config.model import Config
from lacewingpond.limits.admission import ADMITTED, Admission, RefusalReason
from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.ask_book import AskBook
from lacewingpond.limits.bucket import (
    route_bucket,
    service_bucket,
    workspace_bucket,
)
from lacewingpond.limits.held_grant import HeldGrant
from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.messages import (
    GrantAnswer,
    GrantAsk,
    GrantEnd,
    GrantReturn,
)
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.pending_ask import PendingAsk
from lacewingpond.limits.silent_owners import SilentOwners
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.limits.waiter import Waiter
from lacewingpond.peers.base import Message, PeerChannel
from lacewingpond.shards.base import Ownership, ShardView
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

RETURN_SHARE = 0.75
"""Share of its life after which a grant's unused tokens are given back."""
HOUSEKEEPING_S = 1.0
"""Period in which idle buckets and slices are forgotten."""
NO_OWNER_RETRY_S = 0.1
"""Time for which a shard without a reachable owner is not asked."""


class FleetLimiter:
    """Admits requests within the rates and bursts of the whole fleet.

    Parameters
    ----------
    options : LimitOptions
        Settings, equal on all VMs.
    vm_id : str
        This VM.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the first asks over slices.
    channel : PeerChannel
        Way to the other VMs.
    shards : ShardView
        Who owns which shard.
    log : DecisionLog
        Takes refusals and changes of ownership.
    metrics : Metrics
        Takes counters ``limits.*``.
    """

    name = "limits"

    __slots__ = (
        "_options",
        "_vm_id",
        "_clock",
        "_rng",
        "_channel",
        "_shards",
        "_log",
        "_metrics",
        "_table",
        "_owner",
        "_allowances",
        "_asks",
        "_silent",
        "_waiters",
        "_returns",
        "_timer",
        "_housekept_at",
    )

    def __init__(
        self,
        options: LimitOptions,
        vm_id: str,
        clock: Clock,
        rng: random.Random,
        channel: PeerChannel,
        shards: ShardView,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._vm_id = vm_id
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._shards = shards
        self._log = log
        self._metrics = metrics
        self._table = LimitTable(shards.shard_count, options)
        self._owner = SliceOwner(options, self._table, shards, clock)
        self._allowances: dict[str, Allowance] = {}
        self._asks = AskBook(options, rng.getrandbits(31))
        self._silent = SilentOwners(options)
        self._waiters: dict[int, Waiter] = {}
        self._returns: list[tuple[float, str]] = []
        self._timer: gevent.Greenlet | None = None
        self._housekept_at = clock.now()

    @classmethod
    def from_options(
        cls,
        options: LimitOptions,
        vm_id: str,
        clock: Clock,
        rng: random.Random,
        channel: PeerChannel,
        shards: ShardView,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "FleetLimiter":
        """Create a limiter and let it take its messages."""
        limiter = cls(options, vm_id, clock, rng, channel, shards, log, metrics)
        channel.register(GrantAsk, limiter._on_ask)
        channel.register(GrantAnswer, limiter._on_answer)
        channel.register(GrantReturn, limiter._on_return)
        return limiter

    def configure(self, cfg: Config) -> None:
        """Apply a revision of the configuration."""
        self._table.configure(cfg, self._clock.now())
        self._owner.apply_limits()
        for bucket_id, allowance in list(self._allowances.items()):
            bucket = self._table.buckets.get(bucket_id)
            if bucket is None:
                del self._allowances[bucket_id]
            elif bucket != allowance.bucket:
                allowance.configure(bucket, self._shards.shard_count)
            allowance.wake()

    def bucket_ids(
        self, workspace: str, route: str, service: str = ""
    ) -> tuple[str, ...]:
        """Return the buckets that a request must pass.

        Parameters
        ----------
        workspace : str
            Workspace of the request's key; empty on open routes.
        route, service : str
            Names of the route and of its service.
        """
        limits = (route_bucket(route), service_bucket(service))
        present = tuple(name for name in limits if name in self._table.buckets)
        if not workspace:
            return present
        return (workspace_bucket(workspace), *present)

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take one token of each bucket, or none.

        Blocks for at most ``wait_s`` when this VM holds no token.
        """
        now = self._clock.now()
        allowances: list[Allowance] = []
        for bucket_id in bucket_ids:
            allowance = self._allowance(bucket_id)
            if allowance is None:
                return self._refused(bucket_id, RefusalReason.UNKNOWN_BUCKET, 1.0)
            allowance.note_demand(now)
            if self._is_exhausted(allowance, now):
                return self._refuse(allowance, now)
            allowances.append(allowance)
        self._ensure_timer()
        if all(allowance.has_token(None, now) for allowance in allowances):
            return self._take(allowances, now)
        return self._admit_waiting(allowances, now)

    def release(self, shard: int) -> bytes:
        """Stop granting from `shard` and return its state."""
        self._log.decision("limits-shard", str(shard), "released")
        return self._owner.release(shard)

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Start granting from a shard."""
        why = "handed over" if state is not None else "taken over"
        self._log.decision("limits-shard", str(ownership.shard), why)
        self._owner.adopt(ownership, state)
        self._ensure_timer()

    @property
    def owner(self) -> SliceOwner:
        """The slices that this VM grants from."""
        return self._owner

    def _allowance(self, bucket_id: str) -> Allowance | None:
        allowance = self._allowances.get(bucket_id)
        if allowance is not None:
            return allowance
        bucket = self._table.buckets.get(bucket_id)
        if bucket is None:
            return None
        count = self._shards.shard_count
        first = self._rng.randrange(self._options.max_slices)
        allowance = Allowance(bucket, count, self._options, first)
        self._allowances[bucket_id] = allowance
        return allowance

    def _is_exhausted(self, allowance: Allowance, now: float) -> bool:
        if allowance.has_token(None, now):
            return False
        return allowance.hopeless(now + self._options.wait_s)

    def _take(self, allowances: list[Allowance], now: float) -> Admission:
        for allowance in allowances:
            allowance.take()
            self._prefetch(allowance, now)
        self._metrics.incr("limits.admitted")
        return ADMITTED

    def _admit_waiting(self, allowances: list[Allowance], now: float) -> Admission:
        for allowance in allowances:
            if len(allowance.waiters) >= self._options.max_waiting:
                bucket_id = allowance.bucket.bucket_id
                return self._refused(bucket_id, RefusalReason.BUSY, 1.0)
        waiter = Waiter(now + self._options.wait_s)
        for allowance in allowances:
            allowance.waiters.append(waiter)
        self._waiters[id(waiter)] = waiter
        try:
            return self._wait(waiter, allowances)
        finally:
            del self._waiters[id(waiter)]
            self._leave(waiter, allowances)

    def _wait(self, waiter: Waiter, allowances: list[Allowance]) -> Admission:
        while True:
            now = self._clock.now()
            lacking = [a for a in allowances if not a.has_token(waiter, now)]
            for allowance in lacking:
                self._ask_for_waiters(allowance, now)
            lacking = [a for a in lacking if not a.has_token(waiter, now)]
            if not lacking:
                return self._take(allowances, now)
            for allowance in lacking:
                if now >= waiter.deadline or allowance.hopeless(waiter.deadline):
                    return self._refuse(allowance, now)
            waiter.wait()

    def _leave(self, waiter: Waiter, allowances: list[Allowance]) -> None:
        for allowance in allowances:
            allowance.waiters.remove(waiter)
            allowance.wake()

    def _refuse(self, allowance: Allowance, now: float) -> Admission:
        reason = RefusalReason.OVER_RATE
        if allowance.has_unreachable(now):
            reason = RefusalReason.UNREACHABLE
        wait_s = max(allowance.retry_at() - now, 1.0 / allowance.bucket.rate)
        return self._refused(allowance.bucket.bucket_id, reason, wait_s)

    def _refused(
        self, bucket_id: str, reason: RefusalReason, retry_after_s: float
    ) -> Admission:
        self._metrics.incr(f"limits.refused.{reason.value}")
        self._log.decision("limit", bucket_id, reason.value)
        return Admission(False, bucket_id, reason, retry_after_s)

    def _prefetch(self, allowance: Allowance, now: float) -> None:
        if now < allowance.ahead_after:
            return
        ahead = allowance.ahead_wanted(now)
        if not ahead:
            return
        ttl_s = allowance.bucket.ttl_s(self._options)
        allowance.ahead_after = now + ttl_s / 8.0
        self._ask_one(allowance, 0, ahead, now)

    def _ask_for_waiters(self, allowance: Allowance, now: float) -> None:
        need = allowance.missing(now)
        while need > 0:
            ahead = allowance.ahead_wanted(now)
            if not self._ask_one(allowance, need, ahead, now):
                return
            need = allowance.missing(now)

    def _ask_one(self, allowance: Allowance, need: int, ahead: int, now: float) -> bool:
        """Ask the next slice; False when none is worth asking."""
        while (shard := allowance.next_shard(now)) is not None:
            owner = self._shards.owner(shard)
            if owner is None:
                allowance.avoid(shard, now + NO_OWNER_RETRY_S, unreachable=True)
                continue
            silent_until = self._silent.silent_until(owner.vm_id)
            if silent_until > now:
                allowance.avoid(shard, silent_until, unreachable=True)
                continue
            if self._send_ask(allowance, shard, owner.vm_id, need, ahead):
                return True
            allowance.avoid(shard, now + NO_OWNER_RETRY_S, unreachable=True)
        return False

    def _send_ask(
        self, allowance: Allowance, shard: int, vm_id: str, need: int, ahead: int
    ) -> bool:
        seq = self._asks.next_seq()
        bucket_id = allowance.bucket.bucket_id
        ended = allowance.take_ended(shard)
        message = GrantAsk(shard, bucket_id, seq, need, ahead, ended)
        ask = PendingAsk(bucket_id, shard, vm_id, self._clock.now(), need, ahead)
        if vm_id == self._vm_id:
            self._apply(allowance, ask, self._owner.ask(vm_id, message))
            return True
        self._asks.add(seq, ask)
        allowance.in_flight_need += need
        allowance.in_flight_ahead += ahead
        self._metrics.incr("limits.asks")
        if self._channel.send(vm_id, message):
            return True
        self._settle(seq, ask)
        return False

    def _settle(self, seq: int, ask: PendingAsk) -> None:
        """Forget an ask that was answered or could not be sent."""
        if self._asks.close(seq):
            self._uncount(ask)

    def _uncount(self, ask: PendingAsk) -> None:
        """Stop counting on the answer to an ask."""
        allowance = self._allowances.get(ask.bucket_id)
        if allowance is None:
            return
        allowance.in_flight_need = max(allowance.in_flight_need - ask.need, 0)
        allowance.in_flight_ahead = max(allowance.in_flight_ahead - ask.ahead, 0)

    def _apply(
        self, allowance: Allowance, ask: PendingAsk, answer: GrantAnswer
    ) -> None:
        now = self._clock.now()
        if not answer.owned:
            until = now + NO_OWNER_RETRY_S
            allowance.avoid(ask.shard, until, unreachable=True)
        elif answer.dry_ms:
            allowance.avoid(ask.shard, now + answer.dry_ms / 1000.0)
        elif not answer.amount:
            # A slice that has nothing to spare is not asked ahead of need again
            # until the demand had time to change.
            ttl_s = allowance.bucket.ttl_s(self._options)
            allowance.ahead_after = now + ttl_s / 2.0
        self._hold(allowance, ask, answer, now)

    def _hold(
        self, allowance: Allowance, ask: PendingAsk, answer: GrantAnswer, now: float
    ) -> None:
        # The owner counts the life of the grant from its answer and this VM
        # from its ask; two clocks that drift apart stay on the safe side.
        drift = 1.0 - 2.0 * self._options.max_clock_drift
        ttl_s = answer.ttl_ms / 1000.0 * drift
        expires_at = ask.sent_at + ttl_s
        if answer.amount <= 0 or expires_at <= now:
            return
        return_at = ask.sent_at + ttl_s * RETURN_SHARE
        grant = HeldGrant(ask.shard, answer.seq, answer.amount, expires_at, return_at)
        allowance.add(grant)
        heapq.heappush(self._returns, (return_at, ask.bucket_id))

    def _give_back(self, allowance: Allowance, now: float) -> None:
        unused = allowance.take_unused(now)
        for shard, ended in unused.items():
            self._return(shard, allowance.bucket.bucket_id, ended)

    def _return(self, shard: int, bucket_id: str, ended: list[GrantEnd]) -> None:
        owner = self._shards.owner(shard)
        if owner is None:
            return
        message = GrantReturn(shard, bucket_id, tuple(ended))
        if owner.vm_id == self._vm_id:
            self._owner.take_back(self._vm_id, message)
            return
        self._metrics.incr("limits.returns")
        self._channel.send(owner.vm_id, message)

    def _on_ask(self, vm_id: str, message: Message) -> None:
        self._ensure_timer()
        self._channel.send(vm_id, self._owner.ask(vm_id, message))

    def _on_answer(self, vm_id: str, message: Message) -> None:
        ask = self._asks.find(message.seq)
        if ask is None or ask.vm_id != vm_id:
            return
        self._silent.answered(vm_id)
        self._settle(message.seq, ask)
        allowance = self._allowances.get(ask.bucket_id)
        if allowance is None:
            return
        self._apply(allowance, ask, message)
        allowance.wake()

    def _on_return(self, vm_id: str, message: Message) -> None:
        self._owner.take_back(vm_id, message)

    def _ensure_timer(self) -> None:
        if self._timer is None or self._timer.dead:
            self._timer = gevent.spawn(self._run_timer)

    def _run_timer(self) -> None:
        while self._allowances or self._asks or self._owner.has_slices():
            self._clock.sleep(self._options.tick_s)
            self.tick()

    def tick(self) -> None:
        """Do what is due: late asks, waiting requests, returns, idle buckets."""
        now = self._clock.now()
        self._expire_asks(now)
        self._return_unused(now)
        for waiter in list(self._waiters.values()):
            waiter.wake()
        if now - self._housekept_at >= HOUSEKEEPING_S:
            self._housekept_at = now
            self._forget_idle(now)

    def _expire_asks(self, now: float) -> None:
        for ask in self._asks.take_late(now):
            self._uncount(ask)
            if self._silent.missed(ask.vm_id, now):
                self._log.decision("limits-owner", ask.vm_id, "does not answer asks")

    def _return_unused(self, now: float) -> None:
        while self._returns and self._returns[0][0] <= now:
            _, bucket_id = heapq.heappop(self._returns)
            allowance = self._allowances.get(bucket_id)
            if allowance is not None:
                self._give_back(allowance, now)

    def _forget_idle(self, now: float) -> None:
        self._owner.drop_idle()
        for bucket_id, allowance in list(self._allowances.items()):
            if allowance.is_idle(now):
                del self._allowances[bucket_id]
                self._table.drop_cached(bucket_id)
        self._silent.keep_only(self._owners())

    def _owners(self) -> frozenset[str]:
        owners = map(self._shards.owner, range(self._shards.shard_count))
        return frozenset(owner.vm_id for owner in owners if owner)
