"""Fleet-wide quotas of the entry daemon.

`lacewingpond.limits` has the rate limits of the standalone daemon.
"""

import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import TokenRequest
from lacewingpond.entry.peers.protocol import BASE_VERSION
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.quota.token_shares import TokenShares
from lacewingpond.entry.store_view import StoreView
from lacewingpond.util.clock import Clock

MAX_TOKEN_REQUESTS = 4  # nearly always finds a token while shares are half empty


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

    Attributes
    ----------
    shares : TokenShares
        The buckets of the workspaces.
    """

    __slots__ = ("rules", "shares", "_view", "_fleet", "_channel")

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
        self.shares = TokenShares(
            MAX_TOKEN_REQUESTS, BASE_VERSION, view, fleet, channel, clock, rng
        )
        self._view = view
        self._fleet = fleet
        self._channel = channel
        view.on_config(self._on_config_changed)
        view.on_members(self._on_members_changed)
        channel.register(TokenRequest, self._handle_token_request)

    def admit(self, workspace: EntryWorkspace) -> Admission:
        """Take a token for a request of `workspace`; return whether it is admitted."""
        if workspace.rate <= 0.0:
            return Admission(True)
        return self.shares.take(
            self.rules.allowance(workspace),
            lambda number: TokenRequest(
                number, workspace.name, workspace.rate, workspace.burst
            ),
        )

    def leave(self) -> None:
        """Stop holding shares, so that other members take them over during shutdown."""
        self.shares.leave()

    def _handle_token_request(self, request: TokenRequest, sender: str) -> None:
        self._fleet.record_message(sender)
        cfg = self._view.config
        workspace = cfg.workspaces.get(request.bucket) if cfg is not None else None
        if workspace is None or workspace.rate <= 0.0:
            # The sender may have a newer configuration, which adds the quota.
            workspace = EntryWorkspace(
                request.bucket, (), None, request.rate, request.burst
            )
        has_quota = workspace.rate > 0.0
        allowance = self.rules.allowance(workspace) if has_quota else None
        self._channel.send(sender, self.shares.grant(request.number, allowance))

    def _on_members_changed(self) -> None:
        self.shares.update_members()
        self._update_shares()

    def _on_config_changed(self, cfg: EntryConfig) -> None:
        self.shares.keep_only(cfg.workspaces)
        self._update_shares()

    def _update_shares(self) -> None:
        """Create the shares that the rankings assign to this VM and drop the others."""
        cfg = self._view.config
        if cfg is None:
            return
        for workspace in cfg.workspaces.values():
            if workspace.rate > 0.0:
                self.shares.hold(self.rules.allowance(workspace))
