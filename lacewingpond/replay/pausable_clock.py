"""Clock of a process that can be paused."""

from typing import Protocol

from lacewingpond.util.clock import Clock

# Interval at which a sleeper checks for the end of a pause, in seconds.
POLL_S = 0.5


class Pausable(Protocol):
    """A process that can be paused.

    Attributes
    ----------
    paused_until : float
        Monotonic time at which its pause ends, in seconds.
    """

    paused_until: float


class PausableClock:
    """Clock of one process, whose sleeps do not end before its pauses.

    Parameters
    ----------
    clock : Clock
        Clock of the simulation.
    process : Pausable
        Process that uses this clock.
    """

    __slots__ = ("_clock", "_process")

    def __init__(self, clock: Clock, process: Pausable) -> None:
        self._clock = clock
        self._process = process

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._clock.wall()

    def sleep(self, seconds: float) -> None:
        """Block for `seconds`, and then until the process is not paused."""
        self._clock.sleep(seconds)
        while self._process.paused_until > self._clock.now():
            self._clock.sleep(POLL_S)
