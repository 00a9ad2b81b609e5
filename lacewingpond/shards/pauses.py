"""Detection of process pauses."""

from lacewingpond.util.clock import Clock


class PauseDetector:
    """Counts gaps between consecutive readings of the clocks.

    While a VM is suspended either clock may stand still and the other jump, so a gap
    in the monotonic or in the wall clock counts.

    Parameters
    ----------
    clock : Clock
        Monotonic and wall time.
    max_gap_s : float
        A longer time between two checks counts as a pause, in seconds.
    """

    __slots__ = ("_clock", "_max_gap_s", "_last_now", "_last_wall", "_count")

    def __init__(self, clock: Clock, max_gap_s: float) -> None:
        self._clock = clock
        self._max_gap_s = max_gap_s
        self._last_now = clock.now()
        self._last_wall = clock.wall()
        self._count = 0

    def count(self) -> int:
        """Check the clocks and return the number of pauses detected so far."""
        now, wall = self._clock.now(), self._clock.wall()
        gap_s = max(now - self._last_now, wall - self._last_wall)
        if gap_s > self._max_gap_s:
            self._count += 1
        self._last_now, self._last_wall = now, wall
        return self._count
