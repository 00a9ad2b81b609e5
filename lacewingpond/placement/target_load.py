"""What a VM knows of the load of one target."""

from lacewingpond.config.model import Target

NEGLIGIBLE_LOAD = 0.05
"""Reported requests in work below which a target counts as idle."""


class TargetLoad:
    """Local requests in flight, and the load that the target last reported.

    Parameters
    ----------
    target : Target
        The target as configured.
    """

    __slots__ = ("target", "in_flight", "_reported", "_reported_at")

    def __init__(self, target: Target) -> None:
        self.target = target
        self.in_flight = 0
        self._reported = 0.0
        self._reported_at = 0.0

    def report(self, now: float, load: float) -> None:
        """Keep a load that came with an answer, in requests in work.

        The load counts this VM's own requests too, so those still in flight are
        taken off; `pressure` adds them again.
        """
        self._reported = max(load - self.in_flight, 0.0)
        self._reported_at = now

    def pressure(self, now: float, half_life_s: float) -> float:
        """Return the expected share of the target's slots in use."""
        age_s = now - self._reported_at
        others = self._reported * 0.5 ** (age_s / half_life_s)
        if others < NEGLIGIBLE_LOAD:
            others = 0.0
        return (self.in_flight + others) / max(self.target.slots, 1)
