"""Detects that this process was paused."""

from lacewingpond.util.clock import Clock


class PauseDetector:
    """Counts gaps in both clocks.

    A suspended VM may see its monotonic clock stand still while the wall clock jumps,
    or the other way round, so a gap in either counts.

    Parameters
    ----------
    clock : Clock
        Source of both times.
    max_gap_s : float
        Longest time between two checks that is no pause, in seconds.
    """

    __slots__ = ("_clock", "_max_gap_s", "_now", "_wall", "_count")

    def __init__(self, clock: Clock, max_gap_s: float) -> None:
        self._clock = clock
        self._max_gap_s = max_gap_s
        self._now = clock.now()
        self._wall = clock.wall()
        self._count = 0

    def count(self) -> int:
        """Check the clocks and return the number of pauses so far."""
        now, wall = self._clock.now(), self._clock.wall()
        longest_s = max(now - self._now, wall - self._wall)
        if longest_s > self._max_gap_s:
            self._count += 1
        self._now, self._wall = now, wall
        return self._count
