"""The clock of one VM, whose greenlets a player can stop."""

from gevent.event import Event

from lacewingpond.util.clock import Clock


class VmClock:
    """Passes time on, and holds sleepers while the VM is paused or gone.

    Parameters
    ----------
    base : Clock
        Time of the replay.
    """

    __slots__ = ("_base", "_running")

    def __init__(self, base: Clock) -> None:
        self._base = base
        self._running = Event()
        self._running.set()

    @property
    def is_running(self) -> bool:
        """Whether the VM runs."""
        return self._running.is_set()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._base.now()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._base.wall()

    def sleep(self, seconds: float) -> None:
        """Block for `seconds`, and for as long as the VM is stopped."""
        self._base.sleep(seconds)
        self._running.wait()

    def stop(self) -> None:
        """Hold all sleepers from now on."""
        self._running.clear()

    def resume(self) -> None:
        """Let sleepers go on."""
        self._running.set()
