"""How far counting may be off, and what follows from that."""

from msgspec import Struct

from lacewingpond.entry.model.workspace import EntryWorkspace

TOKENS_PER_SHARE = 4.0  # smaller shares run dry beside others that overflow
SIZE_SHARE = 0.5  # of the tolerance, held by buckets; the rest is for what follows
START_SHARE = 0.2  # two restarts of the whole fleet in one window stay in bounds


class QuotaRules(Struct, frozen=True):
    """The bound on a workspace's requests, and its tolerance.

    Parameters
    ----------
    window_s : float
        Span over which requests are counted.
    overage, slack : float
        What may be admitted beyond the rate: a share and a number.
    """

    window_s: float
    overage: float
    slack: float

    def tolerance(self, workspace: EntryWorkspace) -> float:
        """Return the requests in a window that may be admitted beyond the rate."""
        allowed = workspace.rate * self.window_s + workspace.burst
        return allowed * self.overage + self.slack

    def rate(self, workspace: EntryWorkspace) -> float:
        """Return the tokens a second that all shares together get.

        A workspace may use its burst once in each window, so a bucket that gave it
        only once would refuse requests that are within the quota.
        """
        return workspace.rate + workspace.burst / self.window_s

    def size(self, workspace: EntryWorkspace) -> float:
        """Return the tokens that all shares together hold at most."""
        return self.tolerance(workspace) * SIZE_SHARE

    def share_count(self, workspace: EntryWorkspace, fleet_size: int) -> int:
        """Return into how many shares a workspace's bucket is split."""
        wanted = int(self.size(workspace) / TOKENS_PER_SHARE)
        return min(max(wanted, 1), fleet_size)

    def start_tokens(self, workspace: EntryWorkspace) -> float:
        """Return the tokens with which the whole fleet may start."""
        return self.tolerance(workspace) * START_SHARE

    def may_double(self, workspace: EntryWorkspace) -> bool:
        """Return whether a second holder of everything stays within the bound."""
        allowed = workspace.rate * self.window_s + workspace.burst
        return allowed <= self.tolerance(workspace)
