"""Claims of the shards that this VM owns."""

from collections import deque

import msgspec

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.claim import Claim, Listener
from lacewingpond.idempotency.claim_state import ClaimState, ShardClaims
from lacewingpond.idempotency.key_date import key_date
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.not_run_claim import NotRunClaim
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.shards.base import Ownership
from lacewingpond.util.clock import Clock


class ClaimTable:
    """Decides whether a keyed request is new, a repeat or possibly either.

    A full table refuses new keys. Dropping unexpired claims instead would let their
    requests run twice.

    Parameters
    ----------
    options : IdempotencyOptions
        Settings.
    clock : Clock
        Source of time; dates of keys are compared with its wall clock.
    """

    __slots__ = (
        "_options",
        "_clock",
        "_shards",
        "_claims_lost_until",
        "count",
        "kept_bytes",
        "_not_run",
    )

    def __init__(self, options: IdempotencyOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self._shards: dict[int, dict[str, Claim]] = {}
        self._claims_lost_until: dict[int, float] = {}
        self._not_run: deque[NotRunClaim] = deque()
        self.count = 0
        self.kept_bytes = 0

    def has_shard(self, shard: int) -> bool:
        """Return whether this table holds the shard's claims."""
        return shard in self._shards

    def find(self, shard: int, name: str) -> Claim | None:
        """Return the claim with this name, or None."""
        return self._shards.get(shard, {}).get(name)

    def claim(self, shard: int, request: KeyedRequest) -> Claim | Reply:
        """Create a claim for a request for which `find_repeat` found none.

        Returns
        -------
        Claim or Reply
            The new claim, whose request the caller must run, or a refusal.
        """
        refusal = self._refusal(shard, request.key)
        if refusal is not None:
            return refusal
        claim = Claim(request.name, request.fingerprint(), self._clock.wall())
        self._shards[shard][claim.name] = claim
        self.count += 1
        return claim

    def find_repeat(self, shard: int, request: KeyedRequest) -> Claim | Reply | None:
        """Return the existing claim that a request repeats.

        Returns
        -------
        Claim, Reply or None
            The claim, a refusal when it belongs to a different request, or None when
            there is no claim on the key.
        """
        self._expire(shard)
        self._free_not_run_claims()
        claim = self.find(shard, request.name)
        if claim is None or claim.fingerprint == request.fingerprint():
            return claim
        # On an open route this may be the same caller with a renewed cookie.
        run = RunState.NOT_RUN if request.workspace else RunState.UNKNOWN
        return Reply(ReplyKind.KEY_REUSED, run)

    def finish(self, shard: int, claim: Claim, reply: Reply) -> tuple[Listener, ...]:
        """Store the reply of a run that ended.

        When the request did not run, its key becomes free, but only after
        `not_run_hold_s`. Until then repeats get the same refusal, so a "not run" that
        reaches its caller late is still true.

        Returns
        -------
        tuple of Listener
            Entry VMs to which the reply must be sent.
        """
        listeners = claim.resolve(reply)
        if self.find(shard, claim.name) is not claim:
            return listeners
        if reply.run is RunState.NOT_RUN:
            self._free_later(shard, claim)
            return listeners
        if claim.kept_bytes > self._options.max_answer_bytes:
            claim.reply = _without_answer(reply)
        self.kept_bytes += claim.kept_bytes
        self._drop_answers()
        return listeners

    def release(self, shard: int) -> tuple[bytes, tuple[Claim, ...]]:
        """Remove a shard's claims.

        Returns
        -------
        tuple of bytes and tuple of Claim
            The state for the new owner, and the claims whose requests still run.
        """
        self._expire(shard)
        claims = tuple(self._shards.pop(shard, {}).values())
        self.count -= len(claims)
        self.kept_bytes -= sum(claim.kept_bytes for claim in claims)
        lost_until = self._claims_lost_until.pop(shard, 0.0)
        state = ShardClaims(lost_until, self._claim_states(claims))
        running = tuple(claim for claim in claims if claim.is_running)
        return msgspec.msgpack.encode(state), running

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Add a shard, with the claims from the former owner's state if any."""
        shard = ownership.shard
        self._shards[shard] = {}
        self._claims_lost_until[shard] = 0.0 if ownership.clean else ownership.since
        if state is None:
            return
        try:
            shard_claims = msgspec.msgpack.decode(state, type=ShardClaims)
        except msgspec.DecodeError:
            self._claims_lost_until[shard] = ownership.since
            return
        self._claims_lost_until[shard] = shard_claims.claims_lost_until
        for claim_state in shard_claims.claims:
            self._restore(shard, claim_state)

    def _restore(self, shard: int, state: ClaimState) -> None:
        claim = Claim(state.name, state.fingerprint, state.created_at)
        claim.reply = state.reply
        self._shards[shard][claim.name] = claim
        self.count += 1
        self.kept_bytes += claim.kept_bytes
        if state.reply is not None and state.reply.run is RunState.NOT_RUN:
            self._free_later(shard, claim)

    def _free_later(self, shard: int, claim: Claim) -> None:
        free_at = self._clock.now() + self._options.not_run_hold_s
        self._not_run.append(NotRunClaim(shard, claim, free_at))

    def _free_not_run_claims(self) -> None:
        """Remove the claims of requests that did not run and whose hold is over."""
        now = self._clock.now()
        while self._not_run and self._not_run[0].free_at <= now:
            not_run = self._not_run.popleft()
            claims = self._shards.get(not_run.shard, {})
            if claims.get(not_run.claim.name) is not_run.claim:
                del claims[not_run.claim.name]
                self.count -= 1

    def _refusal(self, shard: int, key: str) -> Reply | None:
        created_at = key_date(key)
        reply = self._refusal_by_date(created_at) or self._refusal_if_claims_lost(
            shard, created_at
        )
        if reply is not None:
            return reply
        if self.count >= self._options.max_claims:
            return Reply(ReplyKind.TOO_MANY_KEYS, RunState.NOT_RUN)
        return None

    def _refusal_by_date(self, created_at: float | None) -> Reply | None:
        if created_at is None:
            return None
        now = self._clock.wall()
        skew_s = self._options.clock_skew_s
        if created_at > now + skew_s:
            # A former owner whose clock was ahead of this one by up to the skew may
            # have accepted a key that is too new here.
            is_certain = created_at > now + 2.0 * skew_s
            run = RunState.NOT_RUN if is_certain else RunState.UNKNOWN
            return Reply(ReplyKind.FUTURE_KEY, run)
        if created_at < now - self._options.retention_s + skew_s:
            return Reply(ReplyKind.KEY_TOO_OLD, RunState.UNKNOWN)
        return None

    def _refusal_if_claims_lost(
        self, shard: int, created_at: float | None
    ) -> Reply | None:
        lost_until = self._claims_lost_until[shard]
        if not lost_until:
            return None
        skew_s = self._options.clock_skew_s
        if created_at is not None and created_at > lost_until + skew_s:
            return None
        if self._clock.wall() > lost_until + self._options.retention_s + skew_s:
            return None
        return Reply(ReplyKind.OWNER_REPLACED, RunState.UNKNOWN)

    def _expire(self, shard: int) -> None:
        """Drop claims older than `retention_s`; claims are in order of creation."""
        claims = self._shards.get(shard, {})
        expired_before = self._clock.wall() - self._options.retention_s
        expired: list[Claim] = []
        for claim in claims.values():
            # A claim whose run was never reported to have ended is kept twice as long.
            extra_s = self._options.retention_s if claim.is_running else 0.0
            if claim.created_at + extra_s > expired_before:
                break
            expired.append(claim)
        for claim in expired:
            del claims[claim.name]
            self.count -= 1
            self.kept_bytes -= claim.kept_bytes

    def _drop_answers(self) -> None:
        """Drop the oldest answers, but not their claims, above `max_kept_bytes`."""
        if self.kept_bytes <= self._options.max_kept_bytes:
            return
        kept = [c for claims in self._shards.values() for c in claims.values()]
        kept = [claim for claim in kept if claim.kept_bytes]
        target_bytes = self._options.max_kept_bytes // 2
        for claim in sorted(kept, key=lambda claim: claim.created_at):
            if self.kept_bytes <= target_bytes:
                return
            self.kept_bytes -= claim.kept_bytes
            claim.reply = _without_answer(claim.reply)

    def _claim_states(self, claims: tuple[Claim, ...]) -> tuple[ClaimState, ...]:
        remaining_bytes = self._options.max_handover_bytes
        states: list[ClaimState] = []
        for claim in reversed(claims):
            remaining_bytes -= claim.kept_bytes
            reply = claim.reply
            if reply is not None and remaining_bytes < 0:
                reply = _without_answer(reply)
            states.append(
                ClaimState(claim.name, claim.fingerprint, claim.created_at, reply)
            )
        return tuple(reversed(states))


def _without_answer(reply: Reply) -> Reply:
    if reply.answer is None:
        return reply
    return Reply(ReplyKind.NOT_KEPT, reply.run)
