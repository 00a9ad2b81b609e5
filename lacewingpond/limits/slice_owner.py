"""The owner's side of the limits: the slices of the shards that this VM owns."""

import msgspec

from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.messages import GrantAnswer, GrantAsk, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice import Slice, SliceGrant
from lacewingpond.limits.slice_state import GrantState, ShardSlices, SliceState
from lacewingpond.shards.base import Ownership, ShardView
from lacewingpond.util.clock import Clock

FULL = float("-inf")
"""Start of the refill of slices that begin full."""
FULL_SLICE_RETRY_MS = 100
"""Time for which a slice that keeps the most grants is not asked again."""


class SliceOwner:
    """Grants tokens from the slices of owned shards.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    table : LimitTable
        Limits of all buckets.
    shards : ShardView
        Tells which shards this process may act for.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_options", "_table", "_shards", "_clock", "_since", "_slices")

    def __init__(
        self, options: LimitOptions, table: LimitTable, shards: ShardView, clock: Clock
    ) -> None:
        self._options = options
        self._table = table
        self._shards = shards
        self._clock = clock
        self._since: dict[int, float] = {}
        self._slices: dict[int, dict[str, Slice]] = {}

    def ask(self, vm_id: str, ask: GrantAsk) -> GrantAnswer:
        """Answer an ask for tokens."""
        if not self._acts_for(ask.shard):
            return GrantAnswer(seq=ask.seq, amount=0, owned=False)
        now = self._clock.now()
        part = self._slice(ask.shard, ask.bucket_id, now)
        if part is None:
            return GrantAnswer(seq=ask.seq, amount=0, owned=False)
        part.advance(now)
        part.end(vm_id, ask.ended)
        if len(part.grants) >= self._options.max_grants_per_slice:
            return GrantAnswer(seq=ask.seq, amount=0, dry_ms=FULL_SLICE_RETRY_MS)
        offer = part.ask(
            (vm_id, ask.seq),
            ask.need,
            ask.ahead,
            self._options.demand_ttl_s,
            self._prefetch_ttl_s(ask.bucket_id),
        )
        return GrantAnswer(
            seq=ask.seq,
            amount=offer.amount,
            ttl_ms=int(offer.ttl_s * 1000.0),
            dry_ms=int(offer.dry_s * 1000.0) + 1 if offer.dry_s else 0,
        )

    def take_back(self, vm_id: str, message: GrantReturn) -> None:
        """Take unused tokens back."""
        part = self._slices.get(message.shard, {}).get(message.bucket_id)
        if part is None or not self._acts_for(message.shard):
            return
        part.advance(self._clock.now())
        part.end(vm_id, message.ended)

    def apply_limits(self) -> None:
        """Bring all slices in use to the limits that apply now."""
        now = self._clock.now()
        for shard, slices in self._slices.items():
            for bucket_id, part in list(slices.items()):
                self._apply_limit(shard, bucket_id, part, now)

    def drop_idle(self) -> None:
        """Forget slices that are full."""
        now = self._clock.now()
        for slices in self._slices.values():
            for bucket_id, part in list(slices.items()):
                part.advance(now)
                if part.is_idle():
                    del slices[bucket_id]
                    self._table.drop_cached(bucket_id)

    def release(self, shard: int) -> bytes:
        """Stop granting from `shard` and return the state of its slices."""
        now = self._clock.now()
        since = self._since.pop(shard, FULL)
        slices = self._slices.pop(shard, {})
        state = ShardSlices(
            empty_for_s=None if since == FULL else since - now,
            slices=tuple(
                _slice_state(bucket_id, part, now) for bucket_id, part in slices.items()
            ),
        )
        return msgspec.msgpack.encode(state)

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Start granting from a shard.

        Without the state of its predecessor all slices start empty, and they
        refill only after the longest grant of the predecessor has expired, so
        no wait before the take-over is needed for the limits.
        """
        now = self._clock.now()
        shard = ownership.shard
        self._slices[shard] = {}
        if state is not None:
            self._since[shard] = now
            self._restore(shard, state, now)
        elif ownership.clean:
            self._since[shard] = FULL
        else:
            self._since[shard] = now + self._options.max_ttl_s

    def has_slices(self) -> bool:
        """Return whether any slice is not known to be full."""
        return any(self._slices.values())

    def slices_in_use(self) -> tuple[Slice, ...]:
        """Return the slices that are not known to be full."""
        return tuple(
            part for slices in self._slices.values() for part in slices.values()
        )

    def _restore(self, shard: int, state: bytes, now: float) -> None:
        try:
            handed = msgspec.msgpack.decode(state, type=ShardSlices)
        except msgspec.DecodeError:
            self._since[shard] = now + self._options.max_ttl_s
            return
        empty_for_s = handed.empty_for_s
        self._since[shard] = FULL if empty_for_s is None else now + empty_for_s
        for slice_state in handed.slices:
            self._restore_slice(shard, slice_state, now)

    def _restore_slice(self, shard: int, state: SliceState, now: float) -> None:
        history = self._table.history(state.bucket_id)
        if history is None:
            # This VM does not know the bucket yet, so what is not restored
            # must not start full once it does.
            self._since[shard] = now + self._options.max_ttl_s
            return
        part = Slice(history.limit(shard, now), state.level, now)
        for grant in state.grants:
            key = (grant.holder, grant.seq)
            restored = SliceGrant(grant.amount, now + grant.left_s, grant.ttl_s)
            part.restore(key, restored)
        part.set_limit(part.limit, now)
        self._slices[shard][state.bucket_id] = part

    def _acts_for(self, shard: int) -> bool:
        return shard in self._slices and self._shards.owned(shard) is not None

    def _slice(self, shard: int, bucket_id: str, now: float) -> Slice | None:
        part = self._slices[shard].get(bucket_id)
        if part is not None:
            self._apply_limit(shard, bucket_id, part, now)
            return part
        history = self._table.history(bucket_id)
        if history is None:
            return None
        limit = history.limit(shard, now)
        if limit.burst <= 0.0:
            return None
        level = history.first_level(shard, now, self._since[shard])
        part = Slice(limit, level, now)
        self._slices[shard][bucket_id] = part
        return part

    def _apply_limit(self, shard: int, bucket_id: str, part: Slice, now: float) -> None:
        history = self._table.history(bucket_id)
        if history is None:
            return
        limit = history.limit(shard, now)
        if limit != part.limit:
            part.set_limit(limit, now)

    def _prefetch_ttl_s(self, bucket_id: str) -> float:
        bucket = self._table.buckets.get(bucket_id)
        return bucket.ttl_s(self._options) if bucket else self._options.demand_ttl_s


def _slice_state(bucket_id: str, part: Slice, now: float) -> SliceState:
    part.advance(now)
    grants = tuple(
        GrantState(holder, seq, grant.amount, grant.expires_at - now, grant.ttl_s)
        for (holder, seq), grant in part.grants.items()
    )
    return SliceState(bucket_id, part.level, grants)
