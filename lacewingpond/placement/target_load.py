"""What a VM knows of the load of one target."""

from lacewingpond.config.model import Target

LATENCY_WEIGHT = 0.15
"""Weight of one answer in the target's latency."""
LEAST_SHARE = 0.9
"""Share of the usual load that is assumed of a target at least."""
TRUSTED_LATENCY_RATIO = 1.5
"""Latency beside the usual one from which a reported load is not trusted."""

LAG_HALF_LIFE_S = 5.0


class TargetLoad:
    """Local requests in flight, the load last reported, and recent latency.

    Parameters
    ----------
    target : Target
        The target as configured.
    """

    __slots__ = ("target", "in_flight", "latency_s", "_others", "_reported_at")

    def __init__(self, target: Target) -> None:
        self.target = target
        self.in_flight = 0
        self.latency_s = 0.0
        self._others = 0.0
        self._reported_at = float("-inf")

    def report(self, now: float, load: float, latency_s: float) -> float:
        """Keep what came with an answer.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        load : float
            Requests in work at the target, those of this VM among them.
        latency_s : float
            How long the answer took, in seconds.

        Returns
        -------
        float
            Requests of other VMs in work at the target.
        """
        self._others = max(load - self.in_flight, 0.0)
        self._reported_at = now
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        return self._others

    def pressure(
        self, now: float, half_life_s: float, usual_others: float, usual_s: float
    ) -> float:
        """Return the expected share of the target's slots in use.

        As a report grows old, the expectation goes back to what is usual for the
        service. A report that the latency belies gives way to the latency.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        half_life_s : float
            Age at which a report counts half, in seconds.
        usual_others : float
            Usual number of requests of other VMs at a target.
        usual_s : float
            Usual latency of the service, in seconds.
        """
        share = 0.5 ** ((now - self._reported_at) / half_life_s)
        others = usual_others + share * (self._others - usual_others)
        others = max(others, LEAST_SHARE * usual_others)
        used = (self.in_flight + others) / max(self.target.slots, 1)
        return max(used, self._lag(now, usual_s))

    def _lag(self, now: float, usual_s: float) -> float:
        """Return by how much the latency exceeds the usual one, or 0.

        The lag fades, so that a target that gets no work is tried again.
        """
        if not usual_s:
            return 0.0
        fading = 0.5 ** ((now - self._reported_at) / LAG_HALF_LIFE_S)
        ratio = 1.0 + (self.latency_s / usual_s - 1.0) * fading
        return ratio if ratio > TRUSTED_LATENCY_RATIO else 0.0
