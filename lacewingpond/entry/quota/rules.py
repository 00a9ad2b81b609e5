"""Bounds of a quota and the sizes of the buckets that enforce it."""

from msgspec import Struct

from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.quota.allowance import Allowance, shares_of

# Share of the tolerance that buckets may hold. The rest covers the initial tokens of
# restarted daemons.
BUCKET_SIZE_RATIO = 0.5
# Share of the tolerance that a starting fleet receives; with it, two restarts of the
# whole fleet within one window stay within the bound.
INITIAL_TOKENS_RATIO = 0.2


class QuotaRules(Struct, frozen=True):
    """The bound on a workspace's requests in any window, and its tolerance.

    Parameters
    ----------
    window_s : float
        Length of the window over which requests are counted, in seconds.
    overage : float
        Requests that may be admitted beyond the quota, as a fraction of it.
    slack : float
        Number of requests that may be admitted on top of that.
    """

    window_s: float
    overage: float
    slack: float

    def tolerance(self, workspace: EntryWorkspace) -> float:
        """Return how many requests beyond the quota a window may admit."""
        allowed = workspace.rate * self.window_s + workspace.burst
        return allowed * self.overage + self.slack

    def refill_rate(self, workspace: EntryWorkspace) -> float:
        """Return the refill rate of all shares together, in tokens per second.

        A workspace may use its burst once in each window, so the burst is refilled
        within each window too; otherwise requests within the quota would be refused.
        """
        return workspace.rate + workspace.burst / self.window_s

    def bucket_size(self, workspace: EntryWorkspace) -> float:
        """Return the largest number of tokens that all shares together hold.

        It is part of the tolerance; the quota itself is refilled within the window.
        """
        return self.tolerance(workspace) * BUCKET_SIZE_RATIO

    def share_count(self, workspace: EntryWorkspace, fleet_size: int) -> int:
        """Return the number of shares that a workspace's bucket is split into."""
        return self.allowance(workspace).share_count(fleet_size)

    def allowance(self, workspace: EntryWorkspace) -> Allowance:
        """Return the bucket of a workspace, for all of its shares together."""
        return Allowance(
            workspace.name,
            self.refill_rate(workspace),
            self.bucket_size(workspace),
            self.initial_tokens(workspace),
            self.allows_standby(workspace),
        )

    def initial_tokens(self, workspace: EntryWorkspace) -> float:
        """Return the number of tokens that all shares of a starting fleet receive."""
        return self.tolerance(workspace) * INITIAL_TOKENS_RATIO

    def allows_standby(self, workspace: EntryWorkspace) -> bool:
        """Return whether the bound holds if one more VM grants as much as a holder.

        Only then may a standby serve tokens beside the holders of the shares. Each
        share admits what it holds at the begin of a window, and what it refills.
        """
        allowed = workspace.rate * self.window_s + workspace.burst
        size = self.bucket_size(workspace)
        shares = shares_of(size)
        admitted = (size + allowed) * (shares + 1) / shares
        return admitted <= allowed + self.tolerance(workspace)
