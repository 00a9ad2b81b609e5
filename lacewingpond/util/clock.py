"""Time as the rest of the project sees it.

Everything that waits or measures takes a `Clock`, so that tests can pause and
advance time.
"""

import heapq
import itertools
import time
from typing import Protocol

import gevent
from gevent.event import Event


class Clock(Protocol):
    """A source of time and of delays."""

    def now(self) -> float:
        """Return monotonic seconds; only differences mean anything."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...

    def boot(self) -> float:
        """Return monotonic seconds that go on while the VM is suspended."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet for `seconds`."""
        ...


class RuntimeClock:
    """The clock of the running process."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def boot(self) -> float:
        """Return monotonic seconds that go on while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet for `seconds`."""
        gevent.sleep(seconds)


class PausedClock:
    """A clock that stands still until `advance` is called.

    Parameters
    ----------
    start : float
        First value of `now`, in seconds.
    wall_start : float
        First value of `wall`, in seconds since the Unix epoch.
    """

    __slots__ = ("_now", "_wall_offset", "_suspended_s", "_sleepers", "_order")

    def __init__(self, start: float = 1000.0, wall_start: float = 1.8e9) -> None:
        self._now = start
        self._wall_offset = wall_start - start
        self._suspended_s = 0.0
        self._sleepers: list[tuple[float, int, Event]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the paused time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the paused time in seconds since the Unix epoch."""
        return self._now + self._wall_offset + self._suspended_s

    def boot(self) -> float:
        """Return the paused time in seconds with all suspensions."""
        return self._now + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Let `seconds` pass as on a suspended VM, whose monotonic clock stands."""
        self._suspended_s += seconds

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet until `advance` has passed its time."""
        event = Event()
        wake_at = self._now + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (wake_at, next(self._order), event))
        event.wait()

    def advance(self, seconds: float) -> None:
        """Move time on, waking sleepers in the order of their wake times.

        Parameters
        ----------
        seconds : float
            How far to move, in seconds; not negative.
        """
        end = self._now + seconds
        gevent.sleep(0)
        while self._sleepers and self._sleepers[0][0] <= end:
            wake_at, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, wake_at)
            event.set()
            gevent.sleep(0)
            gevent.sleep(0)
        self._now = end
        gevent.sleep(0)
