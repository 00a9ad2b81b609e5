"""The entry VM's state of one bucket: granted tokens and waiting requests."""

import math

from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.held_grant import HeldGrant
from lacewingpond.limits.messages import GrantEnd
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.waiter import Waiter

MIN_PREFETCH_TOKENS = 2.0
"""Expected use below which nothing is prefetched."""
PREFETCH_USE_RATIO = 0.6
"""Part of a grant's time to live in which its tokens should be used."""
MIN_PREFETCH_DEFICIT_RATIO = 0.75
"""Share of the wanted tokens that must be missing before more are prefetched."""
MAX_ENDED_GRANTS = 16
"""Maximum number of ended grants per slice that wait to be reported."""


class Allowance:
    """Granted tokens and waiting requests of one bucket on this VM.

    Tokens are requested from the slices of the bucket in turn. A slice that had too
    few tokens or whose owner can't be reached is left out for a while.

    Parameters
    ----------
    bucket : Bucket
        The bucket.
    shard_count : int
        Number of shards.
    options : LimitOptions
        Settings of the limits.
    first : int
        Index of the slice to ask first, which spreads the VMs over the slices.
    """

    __slots__ = (
        "bucket",
        "shards",
        "waiters",
        "in_flight_need",
        "in_flight_prefetch",
        "prefetch_after",
        "last_used_at",
        "_options",
        "_held",
        "_next_index",
        "_blocked_until",
        "_unreachable",
        "_demand_per_s",
        "_demand_updated_at",
        "_ended",
    )

    def __init__(
        self, bucket: Bucket, shard_count: int, options: LimitOptions, first: int
    ) -> None:
        self.waiters: list[Waiter] = []
        self.in_flight_need = 0
        self.in_flight_prefetch = 0
        self.prefetch_after = 0.0
        self.last_used_at = 0.0
        self._options = options
        self._held: list[HeldGrant] = []
        self._next_index = first
        self._demand_per_s = 0.0
        self._demand_updated_at = 0.0
        self.configure(bucket, shard_count)

    def configure(self, bucket: Bucket, shard_count: int) -> None:
        """Apply a changed bucket; tokens already held stay valid until they expire."""
        self.bucket = bucket
        self.shards = bucket.shards(shard_count, self._options)
        self._blocked_until: dict[int, float] = {}
        self._unreachable: set[int] = set()
        self._ended: dict[int, list[GrantEnd]] = {}

    def record_demand(self, now: float) -> None:
        """Add one request to the moving average of demand."""
        window_s = self._options.demand_window_s
        decay = math.exp(-(now - self._demand_updated_at) / window_s)
        self._demand_per_s = self._demand_per_s * decay + 1.0 / window_s
        self._demand_updated_at = now
        self.last_used_at = now

    def held_tokens(self, now: float) -> int:
        """Drop expired grants and return the number of usable tokens."""
        self._held = [grant for grant in self._held if grant.expires_at > now]
        return sum(grant.amount for grant in self._held)

    def has_token(self, waiter: Waiter | None, now: float) -> bool:
        """Return whether a token is left for `waiter` after those in front of it.

        None stands for a request that does not wait yet and comes last.
        """
        held = self.held_tokens(now)
        if not held:
            return False
        ahead = self.waiters.index(waiter) if waiter else len(self.waiters)
        return held > ahead

    def take(self) -> None:
        """Use the token that expires first; `has_token` must have been true."""
        grant = self._held[0]
        grant.amount -= 1
        if not grant.amount:
            self._record_end(self._held.pop(0))

    def add(self, grant: HeldGrant) -> None:
        """Add a new grant."""
        self._held.append(grant)
        self._held.sort(key=lambda held: held.expires_at)

    def deficit(self, now: float) -> int:
        """Return the tokens that waiting requests need and that are not requested yet.

        Negative when more tokens are held or requested than needed.
        """
        wanted = len(self.waiters)
        return wanted - self.held_tokens(now) - self.in_flight_need

    def prefetch_wanted(self, now: float) -> int:
        """Return the number of tokens to prefetch."""
        expected = (
            self._demand_per_s
            * self.bucket.prefetch_ttl_s(self._options)
            * PREFETCH_USE_RATIO
        )
        if expected < MIN_PREFETCH_TOKENS:
            return 0
        wanted = int(expected)
        missing = wanted - self.held_tokens(now) - self.in_flight_prefetch
        return missing if missing >= MIN_PREFETCH_DEFICIT_RATIO * wanted else 0

    def next_shard(self, now: float) -> int | None:
        """Return the shard of the next slice to ask, or None when all back off."""
        for _ in self.shards:
            shard = self.shards[self._next_index % len(self.shards)]
            self._next_index = (self._next_index + 1) % len(self.shards)
            if self._blocked_until.get(shard, 0.0) <= now:
                return shard
        return None

    def back_off(self, shard: int, until: float, unreachable: bool = False) -> None:
        """Leave out a slice until the monotonic time `until`, in seconds."""
        self._blocked_until[shard] = until
        if unreachable:
            self._unreachable.add(shard)
        else:
            self._unreachable.discard(shard)

    def earliest_retry_at(self) -> float:
        """Return the monotonic time in seconds from which some slice may be asked."""
        return min(self._blocked_until.get(shard, 0.0) for shard in self.shards)

    def has_unreachable_slice(self, now: float) -> bool:
        """Return whether a slice is left out as its owner can't be reached."""
        return any(
            self._blocked_until.get(shard, 0.0) > now for shard in self._unreachable
        )

    def is_exhausted_until(self, deadline: float) -> bool:
        """Return whether no token can arrive before the monotonic time `deadline`."""
        return not self.in_flight_need and self.earliest_retry_at() >= deadline

    def pop_ended(self, shard: int) -> tuple[GrantEnd, ...]:
        """Remove and return the ended grants to report to a slice."""
        return tuple(self._ended.pop(shard, ()))

    def pop_returnable(self, now: float) -> dict[int, list[GrantEnd]]:
        """Remove the grants that are due for return and return them by shard."""
        due = [grant for grant in self._held if grant.return_at <= now]
        self._held = [grant for grant in self._held if grant.return_at > now]
        unused: dict[int, list[GrantEnd]] = {}
        for grant in due:
            end = GrantEnd(grant.seq, grant.amount)
            unused.setdefault(grant.shard, []).append(end)
        return unused

    def is_idle(self, now: float) -> bool:
        """Return whether this object holds nothing and was not used recently."""
        unused = now - self.last_used_at > self._options.max_idle_s
        return unused and not self.waiters and not self.held_tokens(now)

    def wake(self) -> None:
        """Wake all waiting requests so that they check for tokens."""
        for waiter in self.waiters:
            waiter.wake()

    def _record_end(self, grant: HeldGrant) -> None:
        ended = self._ended.setdefault(grant.shard, [])
        if len(ended) < MAX_ENDED_GRANTS:
            ended.append(GrantEnd(grant.seq, 0))
