"""What came of the requests of one workspace in a replay of rates."""

from lacewingpond.config.model import Workspace
from lacewingpond.limits.windows import worst_excess
from lacewingpond.replay.central_bucket import CentralBucket


class RateTally:
    """Counts admissions, and refusals that a single bucket would not have made.

    Parameters
    ----------
    workspace : Workspace
        Rate and burst.
    now : float
        Time in seconds.
    """

    __slots__ = ("workspace", "admitted_at", "wrongful_at", "refused", "_central")

    def __init__(self, workspace: Workspace, now: float) -> None:
        self.workspace = workspace
        self.admitted_at: list[float] = []
        self.wrongful_at: list[float] = []
        self.refused = 0
        self._central = CentralBucket(workspace.rate, workspace.burst, now)

    def is_within(self, now: float) -> bool:
        """Return whether a request that arrives now is within rate and burst."""
        return self._central.has_token(now)

    def note(
        self, admitted: bool, was_within: bool, arrived_at: float, now: float
    ) -> None:
        """Count one request."""
        if admitted:
            self._central.drain(now)
            self.admitted_at.append(now)
            return
        self.refused += 1
        if was_within:
            self.wrongful_at.append(arrived_at)

    def excess(self) -> float:
        """Return admissions above rate and burst in the worst window."""
        workspace = self.workspace
        worst = worst_excess(self.admitted_at, workspace.rate, workspace.burst)
        # The sums of times carry rounding errors far below one request.
        return max(worst, 0.0) if worst > 1e-6 else 0.0

    def served_share(self) -> float:
        """Return the share of the requests within rate that were admitted."""
        within = len(self.admitted_at) + len(self.wrongful_at)
        return len(self.admitted_at) / within if within else 1.0
