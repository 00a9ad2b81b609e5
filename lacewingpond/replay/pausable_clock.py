"""A clock whose sleepers stand still while their process is paused."""

from typing import Protocol

from lacewingpond.util.clock import Clock

LOOK_S = 0.5


class Pausable(Protocol):
    """A process that may stand still.

    Attributes
    ----------
    paused_until : float
        Time of the clock at which it goes on.
    """

    paused_until: float


class PausableClock:
    """The clock of one process, whose sleeps last at least as long as its pauses.

    Parameters
    ----------
    clock : Clock
        The clock of the whole world.
    process : Pausable
        The process.
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
        """Block for `seconds`, and further while the process stands still."""
        self._clock.sleep(seconds)
        while self._process.paused_until > self._clock.now():
            self._clock.sleep(LOOK_S)
