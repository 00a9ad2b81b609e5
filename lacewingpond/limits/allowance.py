"""The entry VM's side of one bucket: the tokens it holds and the requests waiting."""

import math

from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.held_grant import HeldGrant
from lacewingpond.limits.messages import GrantEnd
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.waiter import Waiter

MIN_AHEAD_TOKENS = 2.0
"""Expected use below which nothing is asked ahead of need."""
AHEAD_LIFE_SHARE = 0.6
"""Share of a grant's life in which its tokens should be used."""
ASK_WHEN_LACKING = 0.75
"""Share of the wanted tokens that must lack before more are asked ahead."""
MAX_ENDED = 16
"""Most reports of ended grants that wait for the next ask to a slice."""


class Allowance:
    """Tokens and waiting requests of one bucket on this VM.

    Parameters
    ----------
    bucket : Bucket
        The bucket.
    shard_count : int
        Number of shards.
    options : LimitOptions
        Settings of the limits.
    first : int
        Slice to ask first; differs between VMs.
    """

    __slots__ = (
        "bucket",
        "shards",
        "waiters",
        "in_flight_need",
        "in_flight_ahead",
        "ahead_after",
        "used_at",
        "_options",
        "_held",
        "_next",
        "_avoid",
        "_unreachable",
        "_demand",
        "_demand_at",
        "_ended",
    )

    def __init__(
        self, bucket: Bucket, shard_count: int, options: LimitOptions, first: int
    ) -> None:
        self.waiters: list[Waiter] = []
        self.in_flight_need = 0
        self.in_flight_ahead = 0
        self.ahead_after = 0.0
        self.used_at = 0.0
        self._options = options
        self._held: list[HeldGrant] = []
        self._next = first
        self._demand = 0.0
        self._demand_at = 0.0
        self.configure(bucket, shard_count)

    def configure(self, bucket: Bucket, shard_count: int) -> None:
        """Take a changed bucket; tokens in hand stay valid until they expire."""
        self.bucket = bucket
        self.shards = bucket.shards(shard_count, self._options)
        self._avoid: dict[int, float] = {}
        self._unreachable: set[int] = set()
        self._ended: dict[int, list[GrantEnd]] = {}

    def note_demand(self, now: float) -> None:
        """Count one request in the estimate of demand."""
        window_s = self._options.demand_window_s
        decay = math.exp(-(now - self._demand_at) / window_s)
        self._demand = self._demand * decay + 1.0 / window_s
        self._demand_at = now
        self.used_at = now

    def held(self, now: float) -> int:
        """Return the tokens that may be used now."""
        self._held = [grant for grant in self._held if grant.expires_at > now]
        return sum(grant.amount for grant in self._held)

    def has_token(self, waiter: Waiter | None, now: float) -> bool:
        """Return whether a token is there, after those who waited longer."""
        held = self.held(now)
        if not held:
            return False
        ahead = self.waiters.index(waiter) if waiter else len(self.waiters)
        return held > ahead

    def take(self) -> None:
        """Use one token, the first to expire; `has_token` must have been true."""
        grant = self._held[0]
        grant.amount -= 1
        if not grant.amount:
            self._end(self._held.pop(0))

    def add(self, grant: HeldGrant) -> None:
        """Take a new grant."""
        self._held.append(grant)
        self._held.sort(key=lambda held: held.expires_at)

    def missing(self, now: float) -> int:
        """Return the tokens still to be asked for by waiting requests."""
        wanted = len(self.waiters)
        return wanted - self.held(now) - self.in_flight_need

    def ahead_wanted(self, now: float) -> int:
        """Return the tokens to ask ahead of need."""
        expected = self._demand * self.bucket.ttl_s(self._options) * AHEAD_LIFE_SHARE
        if expected < MIN_AHEAD_TOKENS:
            return 0
        wanted = int(expected)
        lacking = wanted - self.held(now) - self.in_flight_ahead
        return lacking if lacking >= ASK_WHEN_LACKING * wanted else 0

    def next_shard(self, now: float) -> int | None:
        """Return the next slice's shard that is worth asking."""
        for _ in self.shards:
            shard = self.shards[self._next % len(self.shards)]
            self._next = (self._next + 1) % len(self.shards)
            if self._avoid.get(shard, 0.0) <= now:
                return shard
        return None

    def avoid(self, shard: int, until: float, unreachable: bool = False) -> None:
        """Don't ask a slice before `until`, in monotonic seconds."""
        self._avoid[shard] = until
        if unreachable:
            self._unreachable.add(shard)
        else:
            self._unreachable.discard(shard)

    def retry_at(self) -> float:
        """Return when the first slice may be asked again, in monotonic seconds."""
        return min(self._avoid.get(shard, 0.0) for shard in self.shards)

    def has_unreachable(self, now: float) -> bool:
        """Return whether a slice is not asked because it can't be reached."""
        return any(self._avoid.get(shard, 0.0) > now for shard in self._unreachable)

    def is_out_of_reach(self, deadline: float) -> bool:
        """Return whether no token can come before `deadline`, in monotonic seconds."""
        return not self.in_flight_need and self.retry_at() >= deadline

    def take_ended(self, shard: int) -> tuple[GrantEnd, ...]:
        """Return and forget the reports for a slice."""
        return tuple(self._ended.pop(shard, ()))

    def take_unused(self, now: float) -> dict[int, list[GrantEnd]]:
        """Stop holding the grants that are due for return; list them by shard."""
        due = [grant for grant in self._held if grant.return_at <= now]
        self._held = [grant for grant in self._held if grant.return_at > now]
        unused: dict[int, list[GrantEnd]] = {}
        for grant in due:
            end = GrantEnd(grant.seq, grant.amount)
            unused.setdefault(grant.shard, []).append(end)
        return unused

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is lost when this object is forgotten."""
        quiet = now - self.used_at > self._options.max_idle_s
        return quiet and not self.waiters and not self.held(now)

    def wake(self) -> None:
        """Let all waiting requests check for tokens."""
        for waiter in self.waiters:
            waiter.wake()

    def _end(self, grant: HeldGrant) -> None:
        ended = self._ended.setdefault(grant.shard, [])
        if len(ended) < MAX_ENDED:
            ended.append(GrantEnd(grant.seq, 0))
