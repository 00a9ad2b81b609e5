"""Limit of the requests of one service that a VM has in flight."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.options import QueueOptions

USUAL_WEIGHT = 0.01
"""Weight of one answer in the moving average of the latency."""
CONGESTED = frozenset({Outcome.SHED, Outcome.TIMEOUT})
"""Outcomes that lower the limit."""


class AdaptiveLimit:
    """Additive increase while targets keep up, else multiplicative decrease.

    Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", Computer Networks and ISDN
    Systems 17, 1989.

    Parameters
    ----------
    options : QueueOptions
        Bounds and factors.
    """

    __slots__ = ("_options", "_limit", "_usual_s", "_lowered_at")

    def __init__(self, options: QueueOptions) -> None:
        self._options = options
        self._limit = options.first_limit
        self._usual_s = 0.0
        self._lowered_at = float("-inf")

    @property
    def limit(self) -> int:
        """Requests that may be in work at once."""
        return int(self._limit)

    @property
    def usual_s(self) -> float:
        """Usual latency of a successful answer, in seconds; 0 when unknown."""
        return self._usual_s

    def settle(
        self, now: float, outcome: Outcome, latency_s: float, in_work: int
    ) -> None:
        """Adapt the limit to the result of one request.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        outcome : Outcome
            How it ended.
        latency_s : float
            How long it took, in seconds.
        in_work : int
            Requests that were in work before it ended.
        """
        if outcome in CONGESTED:
            self._lower(now)
            return
        if outcome is not Outcome.OK:
            return
        if self._usual_s and latency_s > self._usual_s * self._options.slow_factor:
            self._lower(now)
        elif in_work >= self._limit - 1.0:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(raised, self._options.max_limit)
        self._learn(latency_s)

    def _learn(self, latency_s: float) -> None:
        if not self._usual_s:
            self._usual_s = latency_s
            return
        self._usual_s += USUAL_WEIGHT * (latency_s - self._usual_s)

    def _lower(self, now: float) -> None:
        """Lower the limit, at most once in the time of one request."""
        if now - self._lowered_at < max(self._usual_s, 0.01):
            return
        self._lowered_at = now
        lowered = self._limit * self._options.backoff
        self._limit = max(lowered, self._options.min_limit)
