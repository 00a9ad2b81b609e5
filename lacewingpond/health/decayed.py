"""Counts whose weight halves as they age."""


class DecayedRate:
    """The share of bad outcomes among recent ones.

    Parameters
    ----------
    half_life_s : float
        Age at which an outcome counts half, in seconds.
    """

    __slots__ = ("_half_life_s", "_updated", "bad", "total")

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._updated = 0.0
        self.bad = 0.0
        self.total = 0.0

    def add(self, now: float, bad: float, total: float) -> None:
        """Count `bad` among `total` outcomes at `now` seconds."""
        self.age_to(now)
        self.bad += bad
        self.total += total

    def age_to(self, now: float) -> None:
        """Let the counts decay until `now` seconds."""
        factor = 0.5 ** ((now - self._updated) / self._half_life_s)
        self._updated = now
        self.bad *= factor
        self.total *= factor
