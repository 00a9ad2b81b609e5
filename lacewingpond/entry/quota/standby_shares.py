"""Token buckets that one VM holds whole, and of which at most two VMs grant tokens.

The bound on a cold target allows two VMs that each grant the whole bucket, no third
one. So a VM grants only if it ranks first or second among the members that it knows,
and the second is asked only while the first does not answer. A VM that no longer hears
its peers grants nothing to itself. A VM that takes over a bucket begins to grant only
after the tokens of its predecessor are out of the window of the bound.
"""

import random
from collections.abc import Callable, Collection

from lacewingpond.entry.fleet import CUT_OFF_S, Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import PeerMessage, TokenGrant
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.allowance import Allowance
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.entry.quota.token_shares import (
    HOLDERS_UNREACHABLE,
    OVER_RATE,
    UNRESPONSIVE_S,
    TokenShares,
)
from lacewingpond.entry.store_view import StoreView
from lacewingpond.util.clock import Clock

WINDOW_S = 1.0  # of the bound that the buckets enforce
# The standby begins when a holder that was cut off has noticed it and its last tokens
# are out of the window.
STANDBY_DELAY_S = CUT_OFF_S + WINDOW_S
# After a change of the members, VMs may still ask the former holder.
SETTLED_S = 2.0
# A VM asks again so soon that a standby is not taken for idle.
MAX_WAIT_S = 0.3

HOLDER, STANDBY = 0, 1
"""Ranks of the two VMs that may grant tokens."""


class StandbyShares(TokenShares):
    """The buckets that this VM holds whole, and requests for tokens to other VMs.

    Parameters
    ----------
    version : int
        Version of the peer protocol that a member must speak to hold a bucket.
    view, fleet, channel, clock, rng
        As in `TokenShares`.
    """

    __slots__ = ("_last_uses", "_ranked_at")

    def __init__(
        self,
        version: int,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(2, version, view, fleet, channel, clock, rng)
        self._last_uses: dict[str, tuple[int, float]] = {}
        self._ranked_at = clock.now()

    def take(
        self, allowance: Allowance, make_request: Callable[[int], PeerMessage]
    ) -> Admission:
        """Take a token, and return whether there was one.

        The standby is asked only if the holder does not answer.

        Parameters
        ----------
        allowance : Allowance
            The bucket.
        make_request : callable
            Builds the request to a peer from its number.
        """
        for vm_id in self.ranked(allowance.name):
            grant = self._ask(vm_id, allowance, make_request)
            if grant is None:
                continue
            if grant.granted:
                return Admission(True, granted_by=vm_id)
            wait_s = min(grant.wait_s, MAX_WAIT_S)
            return Admission(False, OVER_RATE, self._retry_after_s(wait_s))
        return Admission(False, HOLDERS_UNREACHABLE, UNRESPONSIVE_S / 2)

    def ranked(self, name: str) -> list[str]:
        """Return the holder of a bucket and its standby, as far as there are any."""
        known = self._rankings.get(name)
        if known is None:
            # After an evacuation many buckets are ranked, over all members each.
            known = self._rankings[name] = super().ranked(name)[:2]
        return known

    def is_holder(self, name: str) -> bool:
        """Return whether this VM holds a bucket and hears its peers."""
        return self._rank(name) == HOLDER and not self._fleet.is_cut_off

    def update_members(self) -> None:
        """Rank the members again, and drop buckets of which the rank has changed.

        A bucket that is in use stays, so that the change loses no tokens.
        """
        super().update_members()
        now = self._ranked_at = self._clock.now()
        for name, (rank, used_at) in list(self._last_uses.items()):
            now_ranked = self._rank(name)
            idle = now - used_at > WINDOW_S
            if now_ranked is None or (now_ranked != rank and idle):
                self.drop(name)

    def drop(self, name: str) -> None:
        """Drop this VM's bucket, with its tokens."""
        super().drop(name)
        self._last_uses.pop(name, None)

    def keep_only(self, names: Collection[str]) -> None:
        """Drop all other buckets."""
        super().keep_only(names)
        self._last_uses = {k: v for k, v in self._last_uses.items() if k in names}

    def _ask(
        self,
        vm_id: str,
        allowance: Allowance,
        make_request: Callable[[int], PeerMessage],
    ) -> TokenGrant | None:
        """Return the answer of a VM, which may be this one; None without answer."""
        if vm_id == self._fleet.vm_id:
            return None if self._fleet.is_cut_off else self.grant(0, allowance)
        if self._unresponsive_until.get(vm_id, 0.0) > self._clock.now():
            return None
        return self._request_token(vm_id, make_request)

    def _rank(self, name: str) -> int | None:
        """Return this VM's rank for a bucket, None if it may grant no tokens."""
        able, vm_id = self.ranked(name), self._fleet.vm_id
        return None if self._leaving or vm_id not in able else able.index(vm_id)

    def _bucket_for_peer(self, allowance: Allowance | None) -> TokenBucket | None:
        if allowance is None:
            return None
        name, now = allowance.name, self._clock.now()
        rank = self._rank(name)
        _, used_at = self._last_uses.get(name, (rank, now))
        if rank is None or (rank == STANDBY and now - used_at > WINDOW_S):
            # A standby that was idle takes over anew.
            self.drop(name)
        if rank is None:
            return None
        bucket = self._buckets.get(name)
        rate, size = allowance.refill_rate, allowance.bucket_size
        if bucket is None:
            tokens = -rate * self._delay_s(rank, now)
            bucket = self._buckets[name] = TokenBucket(rate, size, tokens, now)
        elif (bucket.rate, bucket.size) != (rate, max(size, 1.0)):
            bucket.resize(rate, size, now)
        self._last_uses[name] = (rank, now)
        return bucket

    def _delay_s(self, rank: int, now: float) -> float:
        """Return how long a new bucket grants nothing, in seconds."""
        if rank == STANDBY:
            return STANDBY_DELAY_S
        return 0.0 if now - self._ranked_at >= SETTLED_S else WINDOW_S
