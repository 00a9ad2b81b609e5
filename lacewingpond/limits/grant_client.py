"""Asks the owners of slices for tokens and takes their answers."""

from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.allowance_table import AllowanceTable
from lacewingpond.limits.held_grant import HeldGrant
from lacewingpond.limits.messages import GrantAnswer, GrantAsk
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.owner_backoff import SilentOwners
from lacewingpond.limits.pending_grant_request import PendingAsk
from lacewingpond.limits.pending_grant_requests import SentAsks
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.limits.token_returner import Returner
from lacewingpond.peers.base import Message, PeerChannel
from lacewingpond.shards.base import ShardView
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

RETURN_SHARE = 0.75
"""Share of its life after which a grant's unused tokens are given back."""
NO_OWNER_RETRY_S = 0.1
"""Time for which a shard without a reachable owner is not asked."""


class Asker:
    """Sends asks for tokens, and adds what is granted to the allowances.

    Asks are sent without waiting and answered by messages of their own.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    vm_id : str
        This VM.
    clock : Clock
        Source of time.
    channel : PeerChannel
        Way to the other VMs.
    shards : ShardView
        Who owns which shard.
    owner : SliceOwner
        The slices that this VM grants from.
    allowances : AllowanceTable
        Tokens that this VM holds.
    returner : Returner
        Gives unused tokens back.
    first_seq : int
        Number before that of the first ask.
    log : DecisionLog
        Takes owners that stop answering.
    metrics : Metrics
        Takes the counter ``limits.asks``.
    """

    __slots__ = ("_options", "_vm_id", "_clock", "_channel", "_shards", "_owner")
    __slots__ += ("_allowances", "_returner", "_log", "_metrics", "_asks", "_silent")

    def __init__(
        self,
        options: LimitOptions,
        vm_id: str,
        clock: Clock,
        channel: PeerChannel,
        shards: ShardView,
        owner: SliceOwner,
        allowances: AllowanceTable,
        returner: Returner,
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
        self._asks = SentAsks(options, first_seq)
        self._silent = SilentOwners(options)

    def has_unanswered(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self._asks)

    def ask_ahead(self, allowance: Allowance, now: float) -> None:
        """Ask for tokens ahead of need when the demand is worth it."""
        if now < allowance.ahead_after:
            return
        ahead = allowance.ahead_wanted(now)
        if not ahead:
            return
        ttl_s = allowance.bucket.ttl_s(self._options)
        allowance.ahead_after = now + ttl_s / 8.0
        self._ask_one(allowance, 0, ahead, now)

    def ask_for_waiters(self, allowance: Allowance, now: float) -> None:
        """Ask for the tokens that waiting requests lack."""
        need = allowance.missing(now)
        while need > 0:
            ahead = allowance.ahead_wanted(now)
            if not self._ask_one(allowance, need, ahead, now):
                return
            need = allowance.missing(now)

    def on_answer(self, vm_id: str, message: Message) -> None:
        """Take the answer to an ask."""
        ask = self._asks.find(message.seq)
        if ask is None or ask.vm_id != vm_id:
            return
        self._silent.answered(vm_id)
        self._settle(message.seq, ask)
        allowance = self._allowances.find(ask.bucket_id)
        if allowance is None:
            return
        self._apply(allowance, ask, message)
        allowance.wake()

    def expire(self, now: float) -> None:
        """Stop counting on asks whose answers are late."""
        for ask in self._asks.take_late(now):
            self._uncount(ask)
            if self._silent.missed(ask.vm_id, now):
                self._log.decision("limits-owner", ask.vm_id, "does not answer asks")

    def forget_former_owners(self) -> None:
        """Forget the silence of VMs that own no shard any more."""
        owners = map(self._shards.owner, range(self._shards.shard_count))
        self._silent.keep_only(frozenset(owner.vm_id for owner in owners if owner))

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
        allowance = self._allowances.find(ask.bucket_id)
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
        self._returner.schedule(ask.bucket_id, return_at)
