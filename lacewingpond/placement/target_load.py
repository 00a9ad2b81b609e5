"""Estimated load of one target."""

from lacewingpond.config.model import Target

LATENCY_WEIGHT = 0.15
"""Weight of one response in the moving average of the target's latency."""
MIN_OTHERS_RATIO = 0.9
"""Smallest assumed number of other VMs' requests, relative to the average."""
MAX_TRUSTED_LATENCY_RATIO = 1.5
"""Ratio to the average latency above which a reported load is not trusted."""

LATENCY_HALF_LIFE_S = 5.0


class TargetLoad:
    """Local requests in flight, the load last reported, and recent latency.

    Parameters
    ----------
    target : Target
        The target as configured.
    """

    __slots__ = ("target", "in_flight", "latency_s", "_other_requests", "_reported_at")

    def __init__(self, target: Target) -> None:
        self.target = target
        self.in_flight = 0
        self.latency_s = 0.0
        self._other_requests = 0.0
        self._reported_at = float("-inf")

    def report(self, now: float, load: float, latency_s: float) -> float:
        """Store the load and the latency of one response.

        Parameters
        ----------
        now : float
            Current time, in seconds of the clock.
        load : float
            Requests running at the target, including those of this VM.
        latency_s : float
            Time until the response, in seconds.

        Returns
        -------
        float
            Requests of other VMs running at the target.
        """
        self._other_requests = max(load - self.in_flight, 0.0)
        self._reported_at = now
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        return self._other_requests

    def utilization(
        self, now: float, half_life_s: float, mean_others: float, mean_latency_s: float
    ) -> float:
        """Return the estimated share of the target's slots in use.

        The estimate returns to the service's average as the last report ages. If the
        latency shows more load than the report does, the latency counts.

        Parameters
        ----------
        now : float
            Current time, in seconds of the clock.
        half_life_s : float
            Age at which a report counts as one half, in seconds.
        mean_others : float
            Average number of requests of other VMs at a target.
        mean_latency_s : float
            Average latency of the service, in seconds.
        """
        report_weight = 0.5 ** ((now - self._reported_at) / half_life_s)
        others = mean_others + report_weight * (self._other_requests - mean_others)
        others = max(others, MIN_OTHERS_RATIO * mean_others)
        used = (self.in_flight + others) / max(self.target.slots, 1)
        return max(used, self._latency_excess(now, mean_latency_s))

    def _latency_excess(self, now: float, mean_latency_s: float) -> float:
        """Return the ratio of the latency to the average if it is high, or else 0.

        The ratio decays to 1, so that a target that gets no work is tried again.
        """
        if not mean_latency_s:
            return 0.0
        decay = 0.5 ** ((now - self._reported_at) / LATENCY_HALF_LIFE_S)
        ratio = 1.0 + (self.latency_s / mean_latency_s - 1.0) * decay
        return ratio if ratio > MAX_TRUSTED_LATENCY_RATIO else 0.0
