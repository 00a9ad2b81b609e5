"""A request waiting for tokens."""

from gevent.event import Event


class Waiter:
    """Blocks a request until tokens may have become available.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds at which the wait ends.
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
        """Unblock the request so that it checks for tokens."""
        self._event.set()
