"""Clocks: that of the running process, and one that is advanced by hand.

Code that waits or measures time takes a `Clock`, so that tests and replays can
control time.
"""

import heapq
import itertools
import time
from typing import Protocol

import gevent
from gevent.event import Event


class Clock(Protocol):
    """Source of time and of delays."""

    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...

    def boot(self) -> float:
        """Return monotonic seconds that include time in which the VM was suspended."""
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
        """Return monotonic seconds that include time in which the VM was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet for `seconds`."""
        gevent.sleep(seconds)


class ManualClock:
    """A clock that moves only when `advance` or `suspend` is called.

    Parameters
    ----------
    start : float
        First value of `now`, in seconds.
    wall_start : float
        First value of `wall`, in seconds since the Unix epoch.
    """

    __slots__ = ("_now", "_wall_offset", "_suspended_s", "_sleepers", "_sequence")

    def __init__(self, start: float = 1000.0, wall_start: float = 1.8e9) -> None:
        self._now = start
        self._wall_offset = wall_start - start
        self._suspended_s = 0.0
        self._sleepers: list[tuple[float, int, Event]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current wall time in seconds since the Unix epoch."""
        return self._now + self._wall_offset + self._suspended_s

    def boot(self) -> float:
        """Return the current time in seconds, suspensions included."""
        return self._now + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension of the VM: move `wall` and `boot`, but not `now`."""
        self._suspended_s += seconds

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet until `advance` has added `seconds`."""
        event = Event()
        wake_at = self._now + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (wake_at, next(self._sequence), event))
        event.wait()

    def advance(self, seconds: float) -> None:
        """Move the time forward and wake sleepers in the order of their wake times.

        Parameters
        ----------
        seconds : float
            Time to add, in seconds; not negative.
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
