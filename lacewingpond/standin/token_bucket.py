"""Token bucket that limits the call rate of the stand-in platform."""

from lacewingpond.util.clock import Clock


class TokenBucket:
    """Token bucket that is full at first.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate : float
        Tokens added per second.
    burst : float
        Maximum number of tokens.
    """

    __slots__ = ("_clock", "_rate", "_burst", "_tokens", "_updated_at")

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = clock.now()

    def take(self) -> bool:
        """Take one token; return False if none is left."""
        now = self._clock.now()
        self._tokens = min(
            self._burst, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
