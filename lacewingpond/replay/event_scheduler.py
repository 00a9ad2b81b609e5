"""Discrete-event scheduler on a manual clock."""

import heapq
import itertools
from collections.abc import Callable

from lacewingpond.util.clock import ManualClock


class EventScheduler:
    """Runs scheduled calls in order of time; ties run in the order of scheduling.

    Parameters
    ----------
    clock : ManualClock
        Advanced to the time of each call before the call runs.
    """

    __slots__ = ("_clock", "_start", "_calls", "_order")

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._start = clock.now()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the seconds since the scheduler was created."""
        return self._clock.now() - self._start

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule `call` to run `seconds` from now."""
        at = self._clock.now() + seconds
        heapq.heappush(self._calls, (at, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Run all calls due within `seconds` of the scheduler's creation."""
        end = self._start + seconds
        while self._calls and self._calls[0][0] <= end:
            at, _, call = heapq.heappop(self._calls)
            if at > self._clock.now():
                self._clock.advance(at - self._clock.now())
            call()
