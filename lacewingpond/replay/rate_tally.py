"""Counts of the requests of one workspace in a replay of rates."""

from lacewingpond.config.model import Workspace
from lacewingpond.limits.windows import worst_excess
from lacewingpond.replay.central_bucket import CentralBucket


class RateTally:
    """Counts admissions, and refusals that a central bucket would not have made.

    Parameters
    ----------
    workspace : Workspace
        Workspace with its rate and burst.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    admitted_at : list of float
        Times of the admissions.
    wrongly_refused_at : list of float
        Arrival times of the requests that were refused within rate and burst.
    refused : int
        Number of all refusals.
    """

    __slots__ = (
        "workspace",
        "admitted_at",
        "wrongly_refused_at",
        "refused",
        "_reference",
    )

    def __init__(self, workspace: Workspace, now: float) -> None:
        self.workspace = workspace
        self.admitted_at: list[float] = []
        self.wrongly_refused_at: list[float] = []
        self.refused = 0
        self._reference = CentralBucket(workspace.rate, workspace.burst, now)

    def is_within_rate(self, now: float) -> bool:
        """Return whether a request that arrives at `now` is within rate and burst."""
        return self._reference.has_token(now)

    def record(
        self, admitted: bool, was_within_rate: bool, arrived_at: float, now: float
    ) -> None:
        """Record the result of one request.

        Parameters
        ----------
        admitted : bool
            Whether the request was admitted.
        was_within_rate : bool
            What `is_within_rate` returned on its arrival.
        arrived_at, now : float
            When it arrived, and when it was admitted or refused.
        """
        if admitted:
            self._reference.drain(now)
            self.admitted_at.append(now)
            return
        self.refused += 1
        if was_within_rate:
            self.wrongly_refused_at.append(arrived_at)

    def excess(self) -> float:
        """Return the admissions above rate and burst in the worst time window."""
        workspace = self.workspace
        worst = worst_excess(self.admitted_at, workspace.rate, workspace.burst)
        # Rounding errors of the times are far below one request.
        return max(worst, 0.0) if worst > 1e-6 else 0.0

    def served_share(self) -> float:
        """Return the share of the requests within rate that were admitted.

        It is 1 if there were none.
        """
        within = len(self.admitted_at) + len(self.wrongly_refused_at)
        return len(self.admitted_at) / within if within else 1.0
