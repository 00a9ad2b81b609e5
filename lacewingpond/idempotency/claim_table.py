"""The claims of the shards that this VM owns."""

from collections import deque

import msgspec

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.claim import Claim, Listener
from lacewingpond.idempotency.claim_state import ClaimState, ShardClaims
from lacewingpond.idempotency.key_date import key_date
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.not_run_claim import RefusedClaim
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.shards.base import Ownership
from lacewingpond.util.clock import Clock


class ClaimTable:
    """Decides whether a keyed request is new, a repeat or can't be told.

    A claim is never dropped before its time to make room, as its key would
    then run twice; a full table refuses new keys instead.

    Parameters
    ----------
    options : IdempotencyOptions
        Settings.
    clock : Clock
        Source of time; dates of keys are compared to its wall clock.
    """

    __slots__ = ("_options", "_clock", "_shards", "_blind_until", "count", "kept_bytes")
    __slots__ += ("_refused",)

    def __init__(self, options: IdempotencyOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self._shards: dict[int, dict[str, Claim]] = {}
        self._blind_until: dict[int, float] = {}
        self._refused: deque[RefusedClaim] = deque()
        self.count = 0
        self.kept_bytes = 0

    def has_shard(self, shard: int) -> bool:
        """Return whether the shard's claims are here."""
        return shard in self._shards

    def find(self, shard: int, name: str) -> Claim | None:
        """Return the claim on a key."""
        return self._shards.get(shard, {}).get(name)

    def claim(self, shard: int, request: KeyedRequest) -> Claim | Reply:
        """Record a claim on a new key.

        Returns
        -------
        Claim or Reply
            The new claim, which must now be run, or why there is none. The
            caller looks for an older claim by `repeat` first.
        """
        refusal = self._refusal(shard, request.key)
        if refusal is not None:
            return refusal
        claim = Claim(request.name, request.fingerprint(), self._clock.wall())
        self._shards[shard][claim.name] = claim
        self.count += 1
        return claim

    def repeat(self, shard: int, request: KeyedRequest) -> Claim | Reply | None:
        """Return the older claim on the key, or why this is not a repeat of it."""
        self._expire(shard)
        self._free_refused()
        claim = self.find(shard, request.name)
        if claim is None or claim.fingerprint == request.fingerprint():
            return claim
        # On an open route it may be the same caller with a renewed cookie.
        run = RunState.NOT_RUN if request.workspace else RunState.UNKNOWN
        return Reply(ReplyKind.MISMATCH, run)

    def finish(self, shard: int, claim: Claim, reply: Reply) -> tuple[Listener, ...]:
        """Keep what came of a run.

        A request that did not run frees its claim, but only after
        `not_run_hold_s`: until then its repeats are refused in the same way, so
        that no late "not run" is untrue when it arrives.

        Returns
        -------
        tuple of Listener
            Entry VMs that wait for the reply.
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
        """Give a shard up.

        Returns
        -------
        tuple of bytes and tuple of Claim
            The state for the new owner, and the claims that still run here.
        """
        self._expire(shard)
        claims = tuple(self._shards.pop(shard, {}).values())
        self.count -= len(claims)
        self.kept_bytes -= sum(claim.kept_bytes for claim in claims)
        blind_until = self._blind_until.pop(shard, 0.0)
        state = ShardClaims(blind_until, self._states(claims))
        running = tuple(claim for claim in claims if claim.is_running)
        return msgspec.msgpack.encode(state), running

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Take a shard, with the claims of its former owner if it left any."""
        shard = ownership.shard
        self._shards[shard] = {}
        self._blind_until[shard] = 0.0 if ownership.clean else ownership.since
        if state is None:
            return
        try:
            handed = msgspec.msgpack.decode(state, type=ShardClaims)
        except msgspec.DecodeError:
            self._blind_until[shard] = ownership.since
            return
        self._blind_until[shard] = handed.blind_until
        for claim_state in handed.claims:
            self._restore(shard, claim_state)

    def _restore(self, shard: int, state: ClaimState) -> None:
        claim = Claim(state.name, state.fingerprint, state.made_at)
        claim.reply = state.reply
        self._shards[shard][claim.name] = claim
        self.count += 1
        self.kept_bytes += claim.kept_bytes
        if state.reply is not None and state.reply.run is RunState.NOT_RUN:
            self._free_later(shard, claim)

    def _free_later(self, shard: int, claim: Claim) -> None:
        until = self._clock.now() + self._options.not_run_hold_s
        self._refused.append(RefusedClaim(shard, claim, until))

    def _free_refused(self) -> None:
        """Free the claims of requests that were refused long enough ago."""
        now = self._clock.now()
        while self._refused and self._refused[0].until <= now:
            refused = self._refused.popleft()
            claims = self._shards.get(refused.shard, {})
            if claims.get(refused.claim.name) is refused.claim:
                del claims[refused.claim.name]
                self.count -= 1

    def _refusal(self, shard: int, key: str) -> Reply | None:
        made_at = key_date(key)
        reply = self._refusal_by_date(made_at) or self._refusal_if_blind(shard, made_at)
        if reply is not None:
            return reply
        if self.count >= self._options.max_claims:
            return Reply(ReplyKind.FULL, RunState.NOT_RUN)
        return None

    def _refusal_by_date(self, made_at: float | None) -> Reply | None:
        if made_at is None:
            return None
        now = self._clock.wall()
        skew_s = self._options.clock_skew_s
        if made_at > now + skew_s:
            # A former owner's clock may have been ahead of this one by the
            # skew, and then it took a key that looks too new here.
            certain = made_at > now + 2.0 * skew_s
            run = RunState.NOT_RUN if certain else RunState.UNKNOWN
            return Reply(ReplyKind.FUTURE_KEY, run)
        if made_at < now - self._options.retention_s + skew_s:
            return Reply(ReplyKind.KEY_TOO_OLD, RunState.UNKNOWN)
        return None

    def _refusal_if_blind(self, shard: int, made_at: float | None) -> Reply | None:
        blind_until = self._blind_until[shard]
        if not blind_until:
            return None
        skew_s = self._options.clock_skew_s
        if made_at is not None and made_at > blind_until + skew_s:
            return None
        if self._clock.wall() > blind_until + self._options.retention_s + skew_s:
            return None
        return Reply(ReplyKind.TAKEN_OVER, RunState.UNKNOWN)

    def _expire(self, shard: int) -> None:
        """Drop the oldest claims whose time is over; they are in order."""
        claims = self._shards.get(shard, {})
        before = self._clock.wall() - self._options.retention_s
        expired: list[Claim] = []
        for claim in claims.values():
            # A run whose end was never reported blocks its key once as long.
            life_s = self._options.retention_s if claim.is_running else 0.0
            if claim.made_at + life_s > before:
                break
            expired.append(claim)
        for claim in expired:
            del claims[claim.name]
            self.count -= 1
            self.kept_bytes -= claim.kept_bytes

    def _drop_answers(self) -> None:
        """Drop the oldest answers, but not their claims, when there are too many."""
        if self.kept_bytes <= self._options.max_kept_bytes:
            return
        kept = [c for claims in self._shards.values() for c in claims.values()]
        kept = [claim for claim in kept if claim.kept_bytes]
        goal = self._options.max_kept_bytes // 2
        for claim in sorted(kept, key=lambda claim: claim.made_at):
            if self.kept_bytes <= goal:
                return
            self.kept_bytes -= claim.kept_bytes
            claim.reply = _without_answer(claim.reply)

    def _states(self, claims: tuple[Claim, ...]) -> tuple[ClaimState, ...]:
        left = self._options.max_handover_bytes
        states: list[ClaimState] = []
        for claim in reversed(claims):
            left -= claim.kept_bytes
            reply = claim.reply
            if reply is not None and left < 0:
                reply = _without_answer(reply)
            states.append(
                ClaimState(claim.name, claim.fingerprint, claim.made_at, reply)
            )
        return tuple(reversed(states))


def _without_answer(reply: Reply) -> Reply:
    if reply.answer is None:
        return reply
    return Reply(ReplyKind.NOT_KEPT, reply.run)
