"""Calls in order of time on a paused clock."""

import heapq
import itertools
from collections.abc import Callable

from lacewingpond.util.clock import PausedClock


class Agenda:
    """Runs calls when their time has come.

    Parameters
    ----------
    clock : PausedClock
        Advanced to the time of each call.
    """

    __slots__ = ("_clock", "_start", "_calls", "_order")

    def __init__(self, clock: PausedClock) -> None:
        self._clock = clock
        self._start = clock.now()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return seconds since the start."""
        return self._clock.now() - self._start

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Run `call` in `seconds`."""
        at = self._clock.now() + seconds
        heapq.heappush(self._calls, (at, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Run all calls that are due within `seconds` of the start."""
        end = self._start + seconds
        while self._calls and self._calls[0][0] <= end:
            at, _, call = heapq.heappop(self._calls)
            if at > self._clock.now():
                self._clock.advance(at - self._clock.now())
            call()
