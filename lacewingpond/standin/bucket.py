"""A token bucket that refuses calls above a rate."""

from lacewingpond.util.clock import Clock


class Bucket:
    """Admits `rate` calls a second and as many at once as `burst`."""

    __slots__ = ("_clock", "_rate", "_burst", "_level", "_at")

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = clock.now()

    def take(self) -> bool:
        """Take one token; False when there is none."""
        now = self._clock.now()
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
