"""Admits requests of workspaces by tokens that a few daemons hold for all.

A workspace's bucket is split into shares of a few tokens. Every daemon ranks the
members in the store in the same way for each workspace, and the first ones hold a
share each. The others ask a holder for a token; it leaves the bucket before the
answer is sent, so a lost answer loses a token and nothing is admitted twice. A share
whose holder has gone stays idle until its entry in the store ends; only where two
holders of everything would still keep the bound does the next in rank step in.
"""

import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.channel import PeerChannel
from lacewingpond.entry.peers.messages import TokenAsk, TokenGrant
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.entry.world import World
from lacewingpond.util.clock import Clock
from lacewingpond.util.rendezvous import ranked

ASK_TIMEOUT_S = 0.06  # answers take 2 ms between domains; a loaded VM takes longer
MAX_ASKS = 4  # finds a token among half-empty shares nearly always
SILENT_S = 2.0  # a holder that did not answer is asked last for so long
STARTUP_S = 8.0  # while members still register, shares move without a loss
MIN_RETRY_S = 0.1  # below this a client returns before a token does

HOLDERS_AWAY = "quota-holders-away"
OVER_RATE = "over-rate"


class QuotaLimiter:
    """Takes a token for each request of a workspace with a rate.

    Parameters
    ----------
    rules : QuotaRules
        Bound and tolerance.
    world : World
        Source of workspaces and members.
    fleet : Fleet
        Knows where members are.
    channel : PeerChannel
        Asks holders.
    clock : Clock
        Fills buckets.
    rng : random.Random
        Spreads questions and returns.
    """

    __slots__ = ("rules", "_world", "_fleet", "_channel", "_clock", "_rng")
    __slots__ += ("_buckets", "_rankings", "_silent_until", "_started_at", "_left")

    def __init__(
        self,
        rules: QuotaRules,
        world: World,
        fleet: Fleet,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.rules = rules
        self._world = world
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}
        self._rankings: dict[str, list[str]] = {}
        self._silent_until: dict[str, float] = {}
        self._started_at = clock.now()
        self._left = False
        world.on_config(self._take_config)
        world.on_members(self._take_members)
        channel.on(TokenAsk, self._take_ask)

    def admit(self, workspace: EntryWorkspace) -> Admission:
        """Take a token for one request of `workspace`."""
        if workspace.rate <= 0.0:
            return Admission(True)
        waits: list[float] = []
        own = self._own_bucket(workspace)
        if own is not None:
            now = self._clock.now()
            if own.take(now):
                return Admission(True)
            waits.append(own.wait_s(now))
        for vm_id in self._order(workspace):
            grant = self._ask(vm_id, workspace.name)
            if grant is None:
                continue
            if grant.granted:
                return Admission(True)
            waits.append(grant.wait_s)
        if not waits:
            return Admission(False, HOLDERS_AWAY, SILENT_S / 2)
        return Admission(False, OVER_RATE, self._retry_s(min(waits)))

    def leave(self) -> None:
        """Hold no share any more; others take them over while this VM stops."""
        self._left = True
        self._buckets.clear()

    def _retry_s(self, wait_s: float) -> float:
        # Several clients wait for the same token.
        return max(wait_s, MIN_RETRY_S) * self._rng.uniform(1.0, 3.0)

    def _order(self, workspace: EntryWorkspace) -> list[str]:
        """Return whom to ask: answering holders first, near ones before others."""
        now = self._clock.now()
        holders, substitute = self._holders_of(workspace)
        others = [vm_id for vm_id in holders if vm_id != self._fleet.vm_id]
        self._rng.shuffle(others)
        others.sort(key=lambda vm_id: not self._fleet.is_near(vm_id))
        others.sort(key=lambda vm_id: self._silent_until.get(vm_id, now) > now)
        if substitute not in (None, self._fleet.vm_id):
            others.append(substitute)
        return others[:MAX_ASKS]

    def _ask(self, vm_id: str, bucket: str) -> TokenGrant | None:
        address = self._fleet.address(vm_id)
        if address is None:
            return None
        answer = self._channel.ask(
            address, lambda number: TokenAsk(number, bucket), ASK_TIMEOUT_S
        )
        if isinstance(answer, TokenGrant):
            self._silent_until.pop(vm_id, None)
            return answer
        self._silent_until[vm_id] = self._clock.now() + SILENT_S
        return None

    def _take_ask(self, ask: TokenAsk, sender: str) -> None:
        self._fleet.heard(sender)
        bucket = self._bucket_for_peer(ask.bucket)
        now = self._clock.now()
        if bucket is None:
            # The asker's list of members is another one; it asks the next.
            grant = TokenGrant(ask.number, False, 1.0)
        elif bucket.take(now):
            grant = TokenGrant(ask.number, True, 0.0)
        else:
            grant = TokenGrant(ask.number, False, bucket.wait_s(now))
        self._channel.send(sender, grant)

    def _bucket_for_peer(self, name: str) -> TokenBucket | None:
        cfg = self._world.config
        workspace = cfg.workspaces.get(name) if cfg is not None else None
        if self._left or workspace is None or workspace.rate <= 0.0:
            return None
        if self.rules.may_double(workspace):
            return self._bucket(workspace)
        return self._own_bucket(workspace)

    def _own_bucket(self, workspace: EntryWorkspace) -> TokenBucket | None:
        """Return this VM's share, or None if it holds none."""
        holders, _ = self._holders_of(workspace)
        if self._left or self._fleet.vm_id not in holders:
            return None
        return self._bucket(workspace)

    def _bucket(self, workspace: EntryWorkspace) -> TokenBucket:
        now = self._clock.now()
        count = self._share_count(workspace)
        rate = self.rules.rate(workspace) / count
        size = self.rules.size(workspace) / count
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            starting = now - self._started_at <= STARTUP_S
            tokens = self.rules.start_tokens(workspace) / count if starting else 0.0
            bucket = TokenBucket(rate, size, tokens, now)
            self._buckets[workspace.name] = bucket
        elif (bucket.rate, bucket.size) != (rate, max(size, 1.0)):
            bucket.resize(rate, size, now)
        return bucket

    def _holders_of(self, workspace: EntryWorkspace) -> tuple[list[str], str | None]:
        """Return who holds shares, and who steps in where that keeps the bound."""
        members = self._ranked(workspace)
        count = self._share_count(workspace)
        doubles = self.rules.may_double(workspace) and len(members) > count
        return members[:count], members[count] if doubles else None

    def _share_count(self, workspace: EntryWorkspace) -> int:
        return self.rules.share_count(workspace, len(self._ranked(workspace)))

    def _ranked(self, workspace: EntryWorkspace) -> list[str]:
        members = self._rankings.get(workspace.name)
        if members is None:
            members = ranked(workspace.name, self._world.members)
            self._rankings[workspace.name] = members
        return members

    def _take_members(self) -> None:
        self._rankings.clear()
        members = self._world.members
        self._silent_until = {
            k: at for k, at in self._silent_until.items() if k in members
        }
        self._match_shares()

    def _take_config(self, cfg: FleetConfig) -> None:
        self._buckets = {k: b for k, b in self._buckets.items() if k in cfg.workspaces}
        self._rankings = {
            k: r for k, r in self._rankings.items() if k in cfg.workspaces
        }
        self._match_shares()

    def _match_shares(self) -> None:
        """Hold the shares that the rankings give to this VM, and no others."""
        cfg = self._world.config
        if cfg is None:
            return
        for workspace in cfg.workspaces.values():
            if workspace.rate <= 0.0:
                continue
            # A share fills from now on, also if nobody asks for it yet.
            held = self._own_bucket(workspace) is not None
            if not held and not self.rules.may_double(workspace):
                self._buckets.pop(workspace.name, None)
