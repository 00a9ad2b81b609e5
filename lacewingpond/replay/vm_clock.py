"""Clock of one simulated VM, whose greenlets a replayer can pause."""

from gevent.event import Event

from lacewingpond.util.clock import Clock


class VmClock:
    """Follows the replay's clock and blocks sleepers while the VM is paused or crashed.

    Parameters
    ----------
    base : Clock
        Clock of the replay.
    """

    __slots__ = ("_base", "_running")

    def __init__(self, base: Clock) -> None:
        self._base = base
        self._running = Event()
        self._running.set()

    @property
    def is_running(self) -> bool:
        """Whether the VM is neither paused nor crashed."""
        return self._running.is_set()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._base.now()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._base.wall()

    def sleep(self, seconds: float) -> None:
        """Block for `seconds`, and then until the VM is running."""
        self._base.sleep(seconds)
        self._running.wait()

    def pause(self) -> None:
        """Block all sleepers until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Release the sleepers."""
        self._running.set()
