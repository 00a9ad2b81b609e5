"""Granting of tokens from the slices of the shards that this VM owns."""

import msgspec

from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.messages import GrantAnswer, GrantAsk, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice import Slice, SliceGrant
from lacewingpond.limits.slice_state import GrantState, ShardSlices, SliceState
from lacewingpond.shards.base import Ownership, ShardView
from lacewingpond.util.clock import Clock

STARTS_FULL = float("-inf")
"""Start of the refill of slices that begin full."""
GRANT_LIMIT_RETRY_MS = 100
"""Time until a slice with ``max_grants_per_slice`` grants is asked again."""


class SliceOwner:
    """Grants tokens from the slices of owned shards.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    table : LimitTable
        Limits of all buckets.
    shards : ShardView
        Says which shards this process owns.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_options", "_table", "_shards", "_clock", "_refill_start", "_slices")

    def __init__(
        self, options: LimitOptions, table: LimitTable, shards: ShardView, clock: Clock
    ) -> None:
        self._options = options
        self._table = table
        self._shards = shards
        self._clock = clock
        self._refill_start: dict[int, float] = {}
        self._slices: dict[int, dict[str, Slice]] = {}

    def grant(self, vm_id: str, request: GrantAsk) -> GrantAnswer:
        """Answer a request for tokens."""
        if not self._may_grant(request.shard):
            return GrantAnswer(seq=request.seq, amount=0, owned=False)
        now = self._clock.now()
        slice_ = self._slice(request.shard, request.bucket_id, now)
        if slice_ is None:
            return GrantAnswer(seq=request.seq, amount=0, owned=False)
        slice_.advance(now)
        slice_.end_grants(vm_id, request.ended)
        if len(slice_.grants) >= self._options.max_grants_per_slice:
            return GrantAnswer(
                seq=request.seq, amount=0, retry_after_ms=GRANT_LIMIT_RETRY_MS
            )
        offer = slice_.offer(
            (vm_id, request.seq),
            request.need,
            request.prefetch,
            self._options.demand_ttl_s,
            self._prefetch_ttl_s(request.bucket_id),
        )
        return GrantAnswer(
            seq=request.seq,
            amount=offer.amount,
            ttl_ms=int(offer.ttl_s * 1000.0),
            retry_after_ms=int(offer.dry_s * 1000.0) + 1 if offer.dry_s else 0,
        )

    def return_tokens(self, vm_id: str, message: GrantReturn) -> None:
        """Return unused tokens to their slice."""
        slice_ = self._slices.get(message.shard, {}).get(message.bucket_id)
        if slice_ is None or not self._may_grant(message.shard):
            return
        slice_.advance(self._clock.now())
        slice_.end_grants(vm_id, message.ended)

    def apply_limits(self) -> None:
        """Update all slices in use to the limits that apply now."""
        now = self._clock.now()
        for shard, slices in self._slices.items():
            for bucket_id, slice_ in list(slices.items()):
                self._apply_limit(shard, bucket_id, slice_, now)

    def drop_full(self) -> None:
        """Drop the state of slices that are full."""
        now = self._clock.now()
        for slices in self._slices.values():
            for bucket_id, slice_ in list(slices.items()):
                slice_.advance(now)
                if slice_.is_full():
                    del slices[bucket_id]
                    self._table.drop_cached(bucket_id)

    def release(self, shard: int) -> bytes:
        """Stop granting from `shard` and return the state of its slices."""
        now = self._clock.now()
        since = self._refill_start.pop(shard, STARTS_FULL)
        slices = self._slices.pop(shard, {})
        state = ShardSlices(
            refill_delay_s=None if since == STARTS_FULL else since - now,
            slices=tuple(
                _slice_state(bucket_id, slice_, now)
                for bucket_id, slice_ in slices.items()
            ),
        )
        return msgspec.msgpack.encode(state)

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Start granting from a shard.

        After a takeover without state all slices start empty and refill only once the
        longest grant of the former owner has expired, so the limits need no wait
        before the takeover.
        """
        now = self._clock.now()
        shard = ownership.shard
        self._slices[shard] = {}
        if state is not None:
            self._refill_start[shard] = now
            self._restore(shard, state, now)
        elif ownership.clean:
            self._refill_start[shard] = STARTS_FULL
        else:
            self._refill_start[shard] = now + self._options.max_ttl_s

    def has_slices(self) -> bool:
        """Return whether there is state of any slice."""
        return any(self._slices.values())

    def slices_in_use(self) -> tuple[Slice, ...]:
        """Return the slices that have state; all others are full or still refill."""
        return tuple(
            slice_ for slices in self._slices.values() for slice_ in slices.values()
        )

    def _restore(self, shard: int, state: bytes, now: float) -> None:
        try:
            shard_state = msgspec.msgpack.decode(state, type=ShardSlices)
        except msgspec.DecodeError:
            self._refill_start[shard] = now + self._options.max_ttl_s
            return
        refill_delay_s = shard_state.refill_delay_s
        self._refill_start[shard] = (
            STARTS_FULL if refill_delay_s is None else now + refill_delay_s
        )
        for slice_state in shard_state.slices:
            self._restore_slice(shard, slice_state, now)

    def _restore_slice(self, shard: int, state: SliceState, now: float) -> None:
        history = self._table.history(state.bucket_id)
        if history is None:
            # This VM does not know the bucket yet. The slice is not restored, so it
            # must not start full once the bucket is known.
            self._refill_start[shard] = now + self._options.max_ttl_s
            return
        slice_ = Slice(history.limit(shard, now), state.level, now)
        for grant in state.grants:
            key = (grant.holder, grant.seq)
            restored = SliceGrant(grant.amount, now + grant.remaining_s, grant.ttl_s)
            slice_.add_grant(key, restored)
        slice_.set_limit(slice_.limit, now)
        self._slices[shard][state.bucket_id] = slice_

    def _may_grant(self, shard: int) -> bool:
        return (
            shard in self._slices and self._shards.active_ownership(shard) is not None
        )

    def _slice(self, shard: int, bucket_id: str, now: float) -> Slice | None:
        slice_ = self._slices[shard].get(bucket_id)
        if slice_ is not None:
            self._apply_limit(shard, bucket_id, slice_, now)
            return slice_
        history = self._table.history(bucket_id)
        if history is None:
            return None
        limit = history.limit(shard, now)
        if limit.burst <= 0.0:
            return None
        level = history.initial_level(shard, now, self._refill_start[shard])
        slice_ = Slice(limit, level, now)
        self._slices[shard][bucket_id] = slice_
        return slice_

    def _apply_limit(
        self, shard: int, bucket_id: str, slice_: Slice, now: float
    ) -> None:
        history = self._table.history(bucket_id)
        if history is None:
            return
        limit = history.limit(shard, now)
        if limit != slice_.limit:
            slice_.set_limit(limit, now)

    def _prefetch_ttl_s(self, bucket_id: str) -> float:
        bucket = self._table.buckets.get(bucket_id)
        return (
            bucket.prefetch_ttl_s(self._options)
            if bucket
            else self._options.demand_ttl_s
        )


def _slice_state(bucket_id: str, slice_: Slice, now: float) -> SliceState:
    slice_.advance(now)
    grants = tuple(
        GrantState(holder, seq, grant.amount, grant.expires_at - now, grant.ttl_s)
        for (holder, seq), grant in slice_.grants.items()
    )
    return SliceState(bucket_id, slice_.level, grants)
