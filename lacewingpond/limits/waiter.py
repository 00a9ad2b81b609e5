"""A request that waits for tokens."""

from gevent.event import Event


class Waiter:
    """Blocks one request until its tokens may have changed.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds at which the request gives up.
    """

    __slots__ = ("deadline", "_event")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self._event = Event()

    def wait(self) -> None:
        """Block until `wake` is called."""
        self._event.wait()
        self._event.clear()

    def wake(self) -> None:
        """Let the request check for tokens."""
        self._event.set()
