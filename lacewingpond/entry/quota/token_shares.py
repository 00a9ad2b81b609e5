"""Token buckets of the whole fleet, split into shares that a few VMs hold.

Every daemon ranks the members listed in the store in the same order for a given
bucket, and the first ones hold one share each. Other daemons request tokens from a
holder. The holder removes a token before it sends the grant, so a lost grant loses a
token but never admits two requests. A share whose holder has failed is unused until
the entry of that holder in the store expires. The next daemon in the ranking serves as
a standby, asked only if a holder does not answer, and only where the bound holds even
if that holder grants tokens to others.
"""

import random
from collections.abc import Callable, Collection

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import PeerMessage, TokenGrant
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.allowance import Allowance
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.entry.store_view import StoreView
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

# Grants take 2 ms between failure domains; a loaded VM takes longer.
TOKEN_REQUEST_TIMEOUT_S = 0.06
UNRESPONSIVE_S = 2.0  # how long a holder that did not respond is tried last
# While members register after a start, shares move between them; a new share gets
# initial tokens in this time, so that the move loses none.
STARTUP_PERIOD_S = 8.0
MIN_RETRY_AFTER_S = 0.1  # sooner, a caller returns before a token is available

HOLDERS_UNREACHABLE = "quota-holders-away"
OVER_RATE = "over-rate"


class TokenShares:
    """The shares that this VM holds, and requests for tokens to those of other VMs.

    Parameters
    ----------
    max_requests : int
        Largest number of VMs that are asked for one token.
    version : int
        Version of the peer protocol that a member must speak to hold a share.
    view : StoreView
        Source of the members.
    fleet : Fleet
        Addresses and failure domains of the members.
    channel : DatagramChannel
        Sends token requests.
    clock : Clock
        Time source of the buckets.
    rng : random.Random
        Picks holders to ask and varies retry times.
    """

    __slots__ = (
        "_max_requests",
        "_version",
        "_view",
        "_fleet",
        "_channel",
        "_clock",
        "_rng",
    )
    __slots__ += ("_buckets", "_rankings", "_unresponsive_until", "_started_at")
    __slots__ += ("_leaving",)

    def __init__(
        self,
        max_requests: int,
        version: int,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._max_requests = max_requests
        self._version = version
        self._view = view
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}
        self._rankings: dict[str, list[str]] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._started_at = clock.now()
        self._leaving = False

    def take(
        self, allowance: Allowance, make_request: Callable[[int], PeerMessage]
    ) -> Admission:
        """Take a token, and return whether there was one.

        If this VM's share has none, peers are asked in turn, each for
        `TOKEN_REQUEST_TIMEOUT_S` at most.

        Parameters
        ----------
        allowance : Allowance
            The bucket.
        make_request : callable
            Builds the request to a peer from its number.
        """
        waits: list[float] = []
        unanswered = False
        _, standby = self._share_holders(allowance)
        own = self._own_bucket(allowance)
        if own is not None:
            now = self._clock.now()
            if own.take(now):
                return Admission(True, granted_by=self._fleet.vm_id)
            waits.append(own.wait_s(now))
        for vm_id in self._request_order(allowance):
            if vm_id == standby and not unanswered:
                continue
            grant = self._request_token(vm_id, make_request)
            if grant is None:
                unanswered = True
                continue
            if grant.granted:
                return Admission(True, granted_by=vm_id)
            waits.append(grant.wait_s)
        if not waits:
            return Admission(False, HOLDERS_UNREACHABLE, UNRESPONSIVE_S / 2)
        return Admission(False, OVER_RATE, self._retry_after_s(min(waits)))

    def grant(self, number: int, allowance: Allowance | None) -> TokenGrant:
        """Return the response to the token request `number` of a peer.

        None for `allowance` refuses, as for a share that this VM does not hold.
        """
        bucket = self._bucket_for_peer(allowance)
        now = self._clock.now()
        if bucket is None:
            # The sender's list of members differs from this one; it asks the next VM.
            return TokenGrant(number, False, 1.0)
        if bucket.take(now):
            return TokenGrant(number, True, 0.0)
        return TokenGrant(number, False, bucket.wait_s(now))

    def hold(self, allowance: Allowance) -> None:
        """Create the share of a bucket if this VM holds one, else drop it.

        The share refills from now on, even if it is not used yet. A standby keeps the
        one that it has.
        """
        if self._own_bucket(allowance) is not None:
            return
        _, standby = self._share_holders(allowance)
        if standby != self._fleet.vm_id:
            self.drop(allowance.name)

    def drop(self, name: str) -> None:
        """Drop this VM's share of a bucket, with its tokens."""
        self._buckets.pop(name, None)

    def keep_only(self, names: Collection[str]) -> None:
        """Drop the shares of all other buckets."""
        self._buckets = {k: b for k, b in self._buckets.items() if k in names}
        self._rankings = {k: r for k, r in self._rankings.items() if k in names}

    def update_members(self) -> None:
        """Rank the members again, after their list has changed."""
        self._rankings.clear()
        members = self._view.members
        self._unresponsive_until = {
            k: at for k, at in self._unresponsive_until.items() if k in members
        }

    def leave(self) -> None:
        """Stop holding shares, so that other members take them over during shutdown."""
        self._leaving = True
        self._buckets.clear()

    def ranked(self, name: str) -> list[str]:
        """Return the members in the order in which they hold shares of a bucket."""
        members = self._rankings.get(name)
        if members is None:
            able = [
                vm_id
                for vm_id, member in self._view.members.items()
                if member.version >= self._version
            ]
            members = self._rankings[name] = ranked(name, able)
        return members

    def _retry_after_s(self, wait_s: float) -> float:
        # Spreads out the callers that wait for the same token.
        return max(wait_s, MIN_RETRY_AFTER_S) * self._rng.uniform(1.0, 3.0)

    def _request_order(self, allowance: Allowance) -> list[str]:
        """Return the VMs to ask, in order.

        Responsive holders come first, those of this failure domain before others; a
        standby comes last.
        """
        now = self._clock.now()
        holders, standby = self._share_holders(allowance)
        others = [vm_id for vm_id in holders if vm_id != self._fleet.vm_id]
        self._rng.shuffle(others)
        others.sort(key=lambda vm_id: not self._fleet.is_same_domain(vm_id))
        others.sort(key=lambda vm_id: self._unresponsive_until.get(vm_id, now) > now)
        if standby not in (None, self._fleet.vm_id):
            others.append(standby)
        return others[: self._max_requests]

    def _request_token(
        self, vm_id: str, make_request: Callable[[int], PeerMessage]
    ) -> TokenGrant | None:
        address = self._fleet.address(vm_id)
        if address is None:
            return None
        response = self._channel.call(address, make_request, TOKEN_REQUEST_TIMEOUT_S)
        if isinstance(response, TokenGrant):
            self._unresponsive_until.pop(vm_id, None)
            return response
        self._unresponsive_until[vm_id] = self._clock.now() + UNRESPONSIVE_S
        return None

    def _bucket_for_peer(self, allowance: Allowance | None) -> TokenBucket | None:
        if self._leaving or allowance is None:
            return None
        holders, standby = self._share_holders(allowance)
        if self._fleet.vm_id not in (*holders, standby):
            return None
        return self._bucket(allowance)

    def _own_bucket(self, allowance: Allowance) -> TokenBucket | None:
        """Return the bucket of this VM's share, or None if it holds none."""
        holders, _ = self._share_holders(allowance)
        if self._leaving or self._fleet.vm_id not in holders:
            return None
        return self._bucket(allowance)

    def _bucket(self, allowance: Allowance) -> TokenBucket:
        now = self._clock.now()
        count = self._share_count(allowance)
        rate = allowance.refill_rate / count
        size = allowance.bucket_size / count
        bucket = self._buckets.get(allowance.name)
        if bucket is None:
            starting = now - self._started_at <= STARTUP_PERIOD_S
            tokens = allowance.initial_tokens / count if starting else 0.0
            bucket = TokenBucket(rate, size, tokens, now)
            self._buckets[allowance.name] = bucket
        elif (bucket.rate, bucket.size) != (rate, max(size, 1.0)):
            bucket.resize(rate, size, now)
        return bucket

    def _share_holders(self, allowance: Allowance) -> tuple[list[str], str | None]:
        """Return the VMs that hold shares, and the standby if the bound allows one."""
        members = self.ranked(allowance.name)
        count = self._share_count(allowance)
        has_standby = allowance.allows_standby and len(members) > count
        return members[:count], members[count] if has_standby else None

    def _share_count(self, allowance: Allowance) -> int:
        return allowance.share_count(len(self.ranked(allowance.name)))
