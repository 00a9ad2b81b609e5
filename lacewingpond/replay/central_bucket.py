"""Token bucket of a centralized limiter, as a reference for a fleet's refusals."""


class CentralBucket:
    """A token bucket that a caller may use, or drain by what a fleet admits.

    Parameters
    ----------
    rate, burst : float
        Tokens refilled per second, and largest number of tokens.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("rate", "burst", "_tokens", "_refilled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def has_token(self, now: float) -> bool:
        """Return whether one more request would be within rate and burst."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Use a token, if there is one, and return whether there was."""
        admitted = self.has_token(now)
        if admitted:
            self._tokens -= 1.0
        return admitted

    def drain(self, now: float) -> None:
        """Remove a token for an admission, down to an empty bucket."""
        self._refill(now)
        self._tokens = max(self._tokens - 1.0, 0.0)

    def _refill(self, now: float) -> None:
        refill = self.rate * (now - self._refilled_at)
        self._tokens = min(self._tokens + refill, self.burst)
        self._refilled_at = now
