"""Exponentially decaying counts of outcomes."""


class DecayedRate:
    """Decaying counts of bad outcomes and of all outcomes.

    Parameters
    ----------
    half_life_s : float
        Age at which an outcome counts as one half, in seconds.
    """

    __slots__ = ("_half_life_s", "_updated", "bad", "total")

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._updated = 0.0
        self.bad = 0.0
        self.total = 0.0

    def add(self, now: float, bad: float, total: float) -> None:
        """Count `total` outcomes at time `now`, `bad` of them bad."""
        self.decay_to(now)
        self.bad += bad
        self.total += total

    def decay_to(self, now: float) -> None:
        """Decay the counts to time `now`, in seconds of the clock."""
        factor = 0.5 ** ((now - self._updated) / self._half_life_s)
        self._updated = now
        self.bad *= factor
        self.total *= factor
