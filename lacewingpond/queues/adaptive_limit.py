"""Adaptive limit on the requests that a VM has in flight to one service."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.options import QueueOptions

LATENCY_EWMA_WEIGHT = 0.01
"""Weight of one request in the moving average of latency."""
CONGESTION_OUTCOMES = frozenset({Outcome.SHED, Outcome.TIMEOUT})
"""Outcomes that decrease the limit."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease (AIMD) of a concurrency limit.

    The limit rises while requests succeed and use it up. It falls when a target
    sheds a request, a request times out or the latency rises well above its average.

    Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", Computer Networks and ISDN
    Systems 17, 1989.

    Parameters
    ----------
    options : QueueOptions
        Bounds and factors of the limit.
    """

    __slots__ = ("_options", "_limit", "_mean_latency_s", "_decreased_at")

    def __init__(self, options: QueueOptions) -> None:
        self._options = options
        self._limit = options.first_limit
        self._mean_latency_s = 0.0
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return int(self._limit)

    @property
    def mean_latency_s(self) -> float:
        """Moving average of successful requests' latency, in seconds; 0 if unknown."""
        return self._mean_latency_s

    def update(
        self, now: float, outcome: Outcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt the limit to the result of one request.

        Parameters
        ----------
        now : float
            Time of the clock at which the request ended, in seconds.
        outcome : Outcome
            Result of the request.
        latency_s : float
            Duration of the request, in seconds.
        in_flight : int
            Requests in flight before this one ended.
        """
        if outcome in CONGESTION_OUTCOMES:
            self._decrease(now)
            return
        if outcome is not Outcome.OK:
            return
        if (
            self._mean_latency_s
            and latency_s > self._mean_latency_s * self._options.slow_factor
        ):
            self._decrease(now)
        elif in_flight >= self._limit - 1.0:
            increased = self._limit + 1.0 / self._limit
            self._limit = min(increased, self._options.max_limit)
        self._update_latency(latency_s)

    def _update_latency(self, latency_s: float) -> None:
        if not self._mean_latency_s:
            self._mean_latency_s = latency_s
            return
        self._mean_latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self._mean_latency_s)

    def _decrease(self, now: float) -> None:
        """Decrease the limit, at most once within the mean latency of a request."""
        if now - self._decreased_at < max(self._mean_latency_s, 0.01):
            return
        self._decreased_at = now
        decreased = self._limit * self._options.backoff
        self._limit = max(decreased, self._options.min_limit)
