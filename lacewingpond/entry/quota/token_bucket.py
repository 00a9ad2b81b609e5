"""A token bucket."""


class TokenBucket:
    """Fills at a rate up to a size; a request takes one token.

    Parameters
    ----------
    rate : float
        Tokens a second, above 0.
    size : float
        Tokens that it holds at most.
    tokens : float
        Tokens at the start.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("rate", "size", "_tokens", "_filled_at")

    def __init__(self, rate: float, size: float, tokens: float, now: float) -> None:
        self.rate = rate
        self.size = max(size, 1.0)
        self._tokens = min(tokens, self.size)
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take a token if there is one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next token is there."""
        self._fill(now)
        return max(1.0 - self._tokens, 0.0) / self.rate

    def resize(self, rate: float, size: float, now: float) -> None:
        """Change rate and size; tokens beyond the size are lost."""
        self._fill(now)
        self.rate = rate
        self.size = max(size, 1.0)
        self._tokens = min(self._tokens, self.size)

    def _fill(self, now: float) -> None:
        grown = self._tokens + max(now - self._filled_at, 0.0) * self.rate
        self._tokens = min(grown, self.size)
        self._filled_at = now
