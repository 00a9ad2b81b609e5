"""A target with slots and a queue, for replays of placement and concurrency."""

from collections import deque
from collections.abc import Callable


class SimulatedTarget:
    """Processes as many requests at once as it has slots; the others wait.

    Parameters
    ----------
    name : str
        Id of the target.
    slots : int
        Maximum number of requests processed at once.
    max_waiting : int
        Maximum number of waiting requests; further ones are shed.
    """

    __slots__ = ("name", "slots", "_max_waiting", "_in_flight", "_waiting")

    def __init__(self, name: str, slots: int, max_waiting: int = 10**9) -> None:
        self.name = name
        self.slots = slots
        self._max_waiting = max_waiting
        self._in_flight = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def load(self) -> int:
        """Number of requests being processed or waiting."""
        return self._in_flight + len(self._waiting)

    def submit(self, start: Callable[[], None]) -> bool:
        """Accept a request and call `start` once it has a slot.

        Returns False, without a call of `start`, if the request is shed.
        """
        if self._in_flight < self.slots:
            self._in_flight += 1
            start()
            return True
        if len(self._waiting) >= self._max_waiting:
            return False
        self._waiting.append(start)
        return True

    def finish(self) -> None:
        """Free the slot of a request and start the next waiting one.

        The slot is not reused while more requests are processed than there are slots,
        which happens after `slots` was lowered.
        """
        if self._waiting and self._in_flight <= self.slots:
            self._waiting.popleft()()
            return
        self._in_flight -= 1
