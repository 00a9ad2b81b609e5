"""One slice of a bucket, as its owner keeps it."""

import heapq

from msgspec import Struct

from lacewingpond.limits.messages import GrantEnd

AHEAD_SHARE = 4
"""A grant ahead of need takes at most one part in this many of the level."""
SLOT_S = 0.02
"""Least time between two askers of an empty slice."""
MAX_DRY_S = 0.25
"""Longest time for which an asker is told not to ask again."""


class SliceLimit(Struct, frozen=True):
    """Rate of one slice in tokens a second, and its burst in tokens."""

    rate: float
    burst: float


class SliceGrant(Struct):
    """An outstanding grant.

    Parameters
    ----------
    amount : int
        Tokens that the holder may still use.
    expires_at : float
        Owner's monotonic time in seconds.
    ttl_s : float
        Life of the grant as told to its holder.
    """

    amount: int
    expires_at: float
    ttl_s: float


class Offer(Struct, frozen=True):
    """What a slice gives for one ask.

    Parameters
    ----------
    amount : int
        Tokens.
    ttl_s, dry_s : float
        Life of the grant, and time for which asking again is useless, in seconds.
    """

    amount: int
    ttl_s: float = 0.0
    dry_s: float = 0.0


class Slice:
    """Grants tokens such that ``level + outstanding <= burst`` at all times.

    Tokens of a grant count as outstanding until their holder reports the end
    of the grant or the grant expires. Tokens that expire without a report may
    have been used, so they never return to the level.

    Parameters
    ----------
    limit : SliceLimit
        Rate and burst; the rate must already allow for clock drift.
    level : float
        Tokens at the start.
    now : float
        Owner's monotonic time in seconds.
    """

    __slots__ = ("limit", "level", "grants", "outstanding", "_at", "_expiry", "_slot")

    def __init__(self, limit: SliceLimit, level: float, now: float) -> None:
        self.limit = limit
        self.level = min(level, limit.burst)
        self.grants: dict[tuple[str, int], SliceGrant] = {}
        self.outstanding = 0
        self._at = now
        self._expiry: list[tuple[float, tuple[str, int]]] = []
        self._slot = now

    def advance(self, now: float) -> None:
        """Expire grants and refill up to `now`, the owner's monotonic seconds."""
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiry)
            grant = self.grants.get(key)
            if grant is None or grant.expires_at != expires_at:
                continue
            self._refill(expires_at)
            self._remove(key)
        self._refill(now)

    def set_limit(self, limit: SliceLimit, now: float) -> None:
        """Change rate and burst; a higher burst fills up at the new rate."""
        self.advance(now)
        self.limit = limit
        self.level = max(min(self.level, self._room()), 0.0)

    def ask(
        self,
        key: tuple[str, int],
        need: int,
        ahead: int,
        need_ttl_s: float,
        ahead_ttl_s: float,
    ) -> Offer:
        """Grant tokens; `advance` must have been called.

        Parameters
        ----------
        key : tuple of str and int
            Holder's VM id and number of its ask; a repeat gets the same grant.
        need, ahead : int
            Tokens for waiting requests, and further ones.
        need_ttl_s, ahead_ttl_s : float
            Life of a grant without and with tokens ahead of need, in seconds.
        """
        known = self.grants.get(key)
        if known is not None:
            return Offer(known.amount, known.ttl_s)
        need = max(need, 0)
        amount = self._amount(need)
        extra = self._ahead(need, ahead) if amount >= need else 0
        ttl_s = ahead_ttl_s if extra else need_ttl_s
        self._grant(key, amount + extra, ttl_s)
        dry_s = self._dry_s(need - amount) if amount < need else 0.0
        return Offer(amount + extra, ttl_s, dry_s)

    def end(self, holder: str, ended: tuple[GrantEnd, ...]) -> None:
        """Take reports of ended grants; unknown ones are ignored."""
        for report in ended:
            grant = self.grants.get((holder, report.seq))
            if grant is None:
                continue
            unused = min(max(report.unused, 0), grant.amount)
            self._remove((holder, report.seq))
            self.level = min(self.level + unused, max(self._room(), 0.0))

    def is_idle(self) -> bool:
        """Return whether the slice is full, so that nothing is lost with it."""
        return not self.grants and self.level >= self.limit.burst

    def restore(self, key: tuple[str, int], grant: SliceGrant) -> None:
        """Add a grant, such as one that a former owner made."""
        self.grants[key] = grant
        self.outstanding += grant.amount
        heapq.heappush(self._expiry, (grant.expires_at, key))

    def _refill(self, now: float) -> None:
        gained = self.limit.rate * max(now - self._at, 0.0)
        self.level = max(min(self.level + gained, self._room()), 0.0)
        self._at = max(now, self._at)

    def _room(self) -> float:
        return self.limit.burst - self.outstanding

    def _remove(self, key: tuple[str, int]) -> None:
        self.outstanding -= self.grants.pop(key).amount

    def _grant(self, key: tuple[str, int], amount: int, ttl_s: float) -> None:
        if amount <= 0:
            return
        self.level -= amount
        self.restore(key, SliceGrant(amount, self._at + ttl_s, ttl_s))

    def _amount(self, need: int) -> int:
        return min(int(self.level), need)

    def _ahead(self, need: int, ahead: int) -> int:
        spare = int((self.level - need) / AHEAD_SHARE)
        return max(min(spare, ahead), 0)

    def _dry_s(self, missing: int) -> float:
        # Each asker gets a later slot, which bounds the asks to an empty slice.
        if self.limit.rate <= 0.0:
            return MAX_DRY_S
        deficit = max(missing - self.level, 0.0)
        ready = self._at + deficit / self.limit.rate
        self._slot = max(self._slot + SLOT_S, ready)
        self._slot = min(self._slot, self._at + MAX_DRY_S)
        return self._slot - self._at
