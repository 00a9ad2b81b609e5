"""A token bucket for rate limiting."""


class TokenBucket:
    """Refills at a constant rate up to its size; each request takes one token.

    Parameters
    ----------
    rate : float
        Refill rate in tokens per second, above 0.
    size : float
        Largest number of tokens held; at least 1.
    tokens : float
        Initial number of tokens.
    now : float
        Current monotonic time in seconds.
    """

    __slots__ = ("rate", "size", "_tokens", "_refilled_at")

    def __init__(self, rate: float, size: float, tokens: float, now: float) -> None:
        self.rate = rate
        self.size = max(size, 1.0)
        self._tokens = min(tokens, self.size)
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Take a token if one is available and return whether it was."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until a token is available, in seconds."""
        self._refill(now)
        return max(1.0 - self._tokens, 0.0) / self.rate

    def resize(self, rate: float, size: float, now: float) -> None:
        """Change rate and size; tokens beyond the new size are dropped."""
        self._refill(now)
        self.rate = rate
        self.size = max(size, 1.0)
        self._tokens = min(self._tokens, self.size)

    def _refill(self, now: float) -> None:
        refilled = self._tokens + max(now - self._refilled_at, 0.0) * self.rate
        self._tokens = min(refilled, self.size)
        self._refilled_at = now
