"""How far counting may be off, and what follows from that."""

from msgspec import Struct

from lacewingpond.entry.model.workspace import EntryWorkspace

TOKENS_PER_SHARE = 4.0  # smaller shares run dry beside others that overflow
START_SHARE = 0.4  # two restarts of the whole fleet in one window stay in bounds
RATE_SHARE = 0.5  # of the overage, so that uneven shares refuse nobody wrongly


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

    def share_count(self, workspace: EntryWorkspace, fleet_size: int) -> int:
        """Return into how many shares a workspace's bucket is split."""
        return min(max(int(workspace.burst / TOKENS_PER_SHARE), 1), fleet_size)

    def rate(self, workspace: EntryWorkspace) -> float:
        """Return the tokens a second that all shares together get."""
        return workspace.rate * (1.0 + self.overage * RATE_SHARE)

    def start_tokens(self, workspace: EntryWorkspace) -> float:
        """Return the tokens with which the whole fleet may start."""
        return min(workspace.burst, self.tolerance(workspace) * START_SHARE)

    def may_double(self, workspace: EntryWorkspace) -> bool:
        """Return whether a second holder of everything stays within the bound."""
        allowed = workspace.rate * self.window_s + workspace.burst
        return allowed <= self.tolerance(workspace)
