"""The bucket of a single point of decision, to judge a fleet's refusals."""


class CentralBucket:
    """A token bucket that is drained by what the fleet really admits.

    Parameters
    ----------
    rate, burst : float
        Tokens a second, and at most.
    now : float
        Time in seconds.
    """

    __slots__ = ("rate", "burst", "_level", "_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at = now

    def has_token(self, now: float) -> bool:
        """Return whether one request more would be within rate and burst."""
        self._refill(now)
        return self._level >= 1.0

    def take(self, now: float) -> bool:
        """Use a token if there is one."""
        admitted = self.has_token(now)
        if admitted:
            self._level -= 1.0
        return admitted

    def drain(self, now: float) -> None:
        """Count an admission."""
        self._refill(now)
        self._level = max(self._level - 1.0, 0.0)

    def _refill(self, now: float) -> None:
        gained = self.rate * (now - self._at)
        self._level = min(self._level + gained, self.burst)
        self._at = now
