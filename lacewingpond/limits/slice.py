"""The owner's state of one slice of a bucket."""

import heapq

from msgspec import Struct

from lacewingpond.limits.messages import GrantEnd

PREFETCH_DIVISOR = 4
"""Prefetched tokens of one grant are at most the level divided by this."""
RETRY_SLOT_S = 0.02
"""Shortest time between the retries of two VMs at an empty slice."""
MAX_RETRY_DELAY_S = 0.25
"""Longest time for which a VM is told not to ask again."""


class SliceLimit(Struct, frozen=True):
    """Rate of a slice in tokens per second, and its burst in tokens."""

    rate: float
    burst: float


class SliceGrant(Struct):
    """An outstanding grant.

    Parameters
    ----------
    amount : int
        Tokens that the holder may still use.
    expires_at : float
        Expiry on the owner's monotonic clock, in seconds.
    ttl_s : float
        Time to live as told to the holder, in seconds.
    """

    amount: int
    expires_at: float
    ttl_s: float


class Offer(Struct, frozen=True):
    """A slice's reply to one grant request.

    Parameters
    ----------
    amount : int
        Granted tokens.
    ttl_s : float
        Time to live of the grant, in seconds.
    dry_s : float
        Time until the slice is worth asking again, in seconds; 0 unless it had fewer
        tokens than needed.
    """

    amount: int
    ttl_s: float = 0.0
    dry_s: float = 0.0


class Slice:
    """Token bucket that grants tokens while ``level + outstanding <= burst`` holds.

    The tokens of a grant are outstanding until the holder reports that it no longer
    holds the grant, or until the grant expires. Tokens that expire without a report
    may have been used, so they never return to the level.

    Parameters
    ----------
    limit : SliceLimit
        Rate and burst; the rate must already be reduced by the clock drift.
    level : float
        Initial tokens.
    now : float
        Current time of the owner's monotonic clock, in seconds.
    """

    __slots__ = (
        "limit",
        "level",
        "grants",
        "outstanding",
        "_updated_at",
        "_expiry",
        "_next_retry_at",
    )

    def __init__(self, limit: SliceLimit, level: float, now: float) -> None:
        self.limit = limit
        self.level = min(level, limit.burst)
        self.grants: dict[tuple[str, int], SliceGrant] = {}
        self.outstanding = 0
        self._updated_at = now
        self._expiry: list[tuple[float, tuple[str, int]]] = []
        self._next_retry_at = now

    def advance(self, now: float) -> None:
        """Expire grants and refill up to `now`, in the owner's monotonic seconds."""
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiry)
            grant = self.grants.get(key)
            if grant is None or grant.expires_at != expires_at:
                continue
            self._refill(expires_at)
            self._remove(key)
        self._refill(now)

    def set_limit(self, limit: SliceLimit, now: float) -> None:
        """Change rate and burst; the level rises to a higher burst at the new rate."""
        self.advance(now)
        self.limit = limit
        self.level = max(min(self.level, self._max_level()), 0.0)

    def offer(
        self,
        key: tuple[str, int],
        need: int,
        prefetch: int,
        needed_ttl_s: float,
        prefetch_ttl_s: float,
    ) -> Offer:
        """Grant tokens; `advance` must have been called for the current time.

        Parameters
        ----------
        key : tuple of str and int
            Holder's VM id and sequence number of its request; a repeated request
            gets the same grant.
        need, prefetch : int
            Tokens for waiting requests, and for expected ones.
        needed_ttl_s, prefetch_ttl_s : float
            Time to live of a grant without and with prefetched tokens, in seconds.

        Returns
        -------
        Offer
            What was granted; possibly nothing.
        """
        existing = self.grants.get(key)
        if existing is not None:
            return Offer(existing.amount, existing.ttl_s)
        need = max(need, 0)
        amount = self._needed_amount(need)
        prefetched = self._prefetch_amount(need, prefetch) if amount >= need else 0
        ttl_s = prefetch_ttl_s if prefetched else needed_ttl_s
        self._grant(key, amount + prefetched, ttl_s)
        dry_s = self._retry_delay_s(need - amount) if amount < need else 0.0
        return Offer(amount + prefetched, ttl_s, dry_s)

    def end_grants(self, holder: str, ended: tuple[GrantEnd, ...]) -> None:
        """Remove ended grants and take back unused tokens; ignores unknown grants."""
        for report in ended:
            grant = self.grants.get((holder, report.seq))
            if grant is None:
                continue
            unused = min(max(report.unused, 0), grant.amount)
            self._remove((holder, report.seq))
            self.level = min(self.level + unused, max(self._max_level(), 0.0))

    def is_full(self) -> bool:
        """Return whether the slice is full, so that its state can be dropped."""
        return not self.grants and self.level >= self.limit.burst

    def add_grant(self, key: tuple[str, int], grant: SliceGrant) -> None:
        """Add an outstanding grant, which may come from a former owner."""
        self.grants[key] = grant
        self.outstanding += grant.amount
        heapq.heappush(self._expiry, (grant.expires_at, key))

    def _refill(self, now: float) -> None:
        gained = self.limit.rate * max(now - self._updated_at, 0.0)
        self.level = max(min(self.level + gained, self._max_level()), 0.0)
        self._updated_at = max(now, self._updated_at)

    def _max_level(self) -> float:
        return self.limit.burst - self.outstanding

    def _remove(self, key: tuple[str, int]) -> None:
        self.outstanding -= self.grants.pop(key).amount

    def _grant(self, key: tuple[str, int], amount: int, ttl_s: float) -> None:
        if amount <= 0:
            return
        self.level -= amount
        self.add_grant(key, SliceGrant(amount, self._updated_at + ttl_s, ttl_s))

    def _needed_amount(self, need: int) -> int:
        return min(int(self.level), need)

    def _prefetch_amount(self, need: int, prefetch: int) -> int:
        spare = int((self.level - need) / PREFETCH_DIVISOR)
        return max(min(spare, prefetch), 0)

    def _retry_delay_s(self, shortfall: int) -> float:
        # Each VM gets a later time, which bounds the request rate at an empty slice.
        if self.limit.rate <= 0.0:
            return MAX_RETRY_DELAY_S
        deficit = max(shortfall - self.level, 0.0)
        ready = self._updated_at + deficit / self.limit.rate
        self._next_retry_at = max(self._next_retry_at + RETRY_SLOT_S, ready)
        self._next_retry_at = min(
            self._next_retry_at, self._updated_at + MAX_RETRY_DELAY_S
        )
        return self._next_retry_at - self._updated_at
