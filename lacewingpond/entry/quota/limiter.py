"""Fleet-wide quotas of the entry daemon, with token buckets that a few VMs hold.

The bucket of a workspace is split into shares of a few tokens. Every daemon ranks the
members listed in the store in the same order for a given workspace, and the first
ones hold one share each. Other daemons request tokens from a holder. The holder
removes a token before it sends the grant, so a lost grant loses a token but never
admits two requests. A share whose holder has failed is unused until the entry of that
holder in the store expires. The next daemon in the ranking serves as a standby only if
two VMs that each hold the whole quota would still stay within the bound.

`lacewingpond.limits` has the rate limits of the standalone daemon.
"""

import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import TokenGrant, TokenRequest
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.entry.store_view import StoreView
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

# Grants take 2 ms between failure domains; a loaded VM takes longer.
TOKEN_REQUEST_TIMEOUT_S = 0.06
MAX_TOKEN_REQUESTS = 4  # nearly always finds a token while shares are half empty
UNRESPONSIVE_S = 2.0  # how long a holder that did not respond is tried last
# While members register after a start, shares move between them; a new share gets
# initial tokens in this time, so that the move loses none.
STARTUP_PERIOD_S = 8.0
MIN_RETRY_AFTER_S = 0.1  # sooner, a caller returns before a token is available

HOLDERS_UNREACHABLE = "quota-holders-away"
OVER_RATE = "over-rate"


class QuotaLimiter:
    """Takes a token for each request of a workspace that has a rate limit.

    Parameters
    ----------
    rules : QuotaRules
        Bounds of the quotas.
    view : StoreView
        Source of the workspaces and the members.
    fleet : Fleet
        Addresses and failure domains of the members.
    channel : DatagramChannel
        Sends token requests and grants.
    clock : Clock
        Time source of the buckets.
    rng : random.Random
        Picks holders to ask and varies retry times.
    """

    __slots__ = ("rules", "_view", "_fleet", "_channel", "_clock", "_rng")
    __slots__ += (
        "_buckets",
        "_rankings",
        "_unresponsive_until",
        "_started_at",
        "_leaving",
    )

    def __init__(
        self,
        rules: QuotaRules,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.rules = rules
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
        view.on_config(self._on_config_changed)
        view.on_members(self._on_members_changed)
        channel.register(TokenRequest, self._handle_token_request)

    def admit(self, workspace: EntryWorkspace) -> Admission:
        """Take a token for a request of `workspace`; return whether it is admitted.

        If this VM's share has none, up to `MAX_TOKEN_REQUESTS` peers are asked in
        turn, each for `TOKEN_REQUEST_TIMEOUT_S` at most.
        """
        if workspace.rate <= 0.0:
            return Admission(True)
        waits: list[float] = []
        own = self._own_bucket(workspace)
        if own is not None:
            now = self._clock.now()
            if own.take(now):
                return Admission(True)
            waits.append(own.wait_s(now))
        for vm_id in self._request_order(workspace):
            grant = self._request_token(vm_id, workspace.name)
            if grant is None:
                continue
            if grant.granted:
                return Admission(True)
            waits.append(grant.wait_s)
        if not waits:
            return Admission(False, HOLDERS_UNREACHABLE, UNRESPONSIVE_S / 2)
        return Admission(False, OVER_RATE, self._retry_after_s(min(waits)))

    def leave(self) -> None:
        """Stop holding shares, so that other members take them over during shutdown."""
        self._leaving = True
        self._buckets.clear()

    def _retry_after_s(self, wait_s: float) -> float:
        # Spreads out the callers that wait for the same token.
        return max(wait_s, MIN_RETRY_AFTER_S) * self._rng.uniform(1.0, 3.0)

    def _request_order(self, workspace: EntryWorkspace) -> list[str]:
        """Return the VMs to ask, in order.

        Responsive holders come first, those of this failure domain before others; a
        standby comes last.
        """
        now = self._clock.now()
        holders, standby = self._share_holders(workspace)
        others = [vm_id for vm_id in holders if vm_id != self._fleet.vm_id]
        self._rng.shuffle(others)
        others.sort(key=lambda vm_id: not self._fleet.is_same_domain(vm_id))
        others.sort(key=lambda vm_id: self._unresponsive_until.get(vm_id, now) > now)
        if standby not in (None, self._fleet.vm_id):
            others.append(standby)
        return others[:MAX_TOKEN_REQUESTS]

    def _request_token(self, vm_id: str, bucket: str) -> TokenGrant | None:
        address = self._fleet.address(vm_id)
        if address is None:
            return None
        response = self._channel.call(
            address,
            lambda number: TokenRequest(number, bucket),
            TOKEN_REQUEST_TIMEOUT_S,
        )
        if isinstance(response, TokenGrant):
            self._unresponsive_until.pop(vm_id, None)
            return response
        self._unresponsive_until[vm_id] = self._clock.now() + UNRESPONSIVE_S
        return None

    def _handle_token_request(self, request: TokenRequest, sender: str) -> None:
        self._fleet.record_message(sender)
        bucket = self._bucket_for_peer(request.bucket)
        now = self._clock.now()
        if bucket is None:
            # The sender's list of members differs from this one; it asks the next VM.
            grant = TokenGrant(request.number, False, 1.0)
        elif bucket.take(now):
            grant = TokenGrant(request.number, True, 0.0)
        else:
            grant = TokenGrant(request.number, False, bucket.wait_s(now))
        self._channel.send(sender, grant)

    def _bucket_for_peer(self, name: str) -> TokenBucket | None:
        cfg = self._view.config
        workspace = cfg.workspaces.get(name) if cfg is not None else None
        if self._leaving or workspace is None or workspace.rate <= 0.0:
            return None
        if self.rules.allows_standby(workspace):
            return self._bucket(workspace)
        return self._own_bucket(workspace)

    def _own_bucket(self, workspace: EntryWorkspace) -> TokenBucket | None:
        """Return the bucket of this VM's share, or None if it holds none."""
        holders, _ = self._share_holders(workspace)
        if self._leaving or self._fleet.vm_id not in holders:
            return None
        return self._bucket(workspace)

    def _bucket(self, workspace: EntryWorkspace) -> TokenBucket:
        now = self._clock.now()
        count = self._share_count(workspace)
        rate = self.rules.refill_rate(workspace) / count
        size = self.rules.bucket_size(workspace) / count
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            starting = now - self._started_at <= STARTUP_PERIOD_S
            tokens = self.rules.initial_tokens(workspace) / count if starting else 0.0
            bucket = TokenBucket(rate, size, tokens, now)
            self._buckets[workspace.name] = bucket
        elif (bucket.rate, bucket.size) != (rate, max(size, 1.0)):
            bucket.resize(rate, size, now)
        return bucket

    def _share_holders(self, workspace: EntryWorkspace) -> tuple[list[str], str | None]:
        """Return the VMs that hold shares, and the standby if the bound allows one."""
        members = self._ranked(workspace)
        count = self._share_count(workspace)
        has_standby = self.rules.allows_standby(workspace) and len(members) > count
        return members[:count], members[count] if has_standby else None

    def _share_count(self, workspace: EntryWorkspace) -> int:
        return self.rules.share_count(workspace, len(self._ranked(workspace)))

    def _ranked(self, workspace: EntryWorkspace) -> list[str]:
        members = self._rankings.get(workspace.name)
        if members is None:
            members = ranked(workspace.name, self._view.members)
            self._rankings[workspace.name] = members
        return members

    def _on_members_changed(self) -> None:
        self._rankings.clear()
        members = self._view.members
        self._unresponsive_until = {
            k: at for k, at in self._unresponsive_until.items() if k in members
        }
        self._update_shares()

    def _on_config_changed(self, cfg: EntryConfig) -> None:
        self._buckets = {k: b for k, b in self._buckets.items() if k in cfg.workspaces}
        self._rankings = {
            k: r for k, r in self._rankings.items() if k in cfg.workspaces
        }
        self._update_shares()

    def _update_shares(self) -> None:
        """Create the shares that the rankings assign to this VM and drop the others.

        Where the bound allows a standby, any member may serve tokens, so it keeps its
        bucket.
        """
        cfg = self._view.config
        if cfg is None:
            return
        for workspace in cfg.workspaces.values():
            if workspace.rate <= 0.0:
                continue
            # Creates the bucket, which refills from now on even if it is not used yet.
            held = self._own_bucket(workspace) is not None
            if not held and not self.rules.allows_standby(workspace):
                self._buckets.pop(workspace.name, None)
