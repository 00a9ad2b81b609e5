"""A target with slots and a queue, for replays of placement and queues."""

from collections import deque
from collections.abc import Callable


class Station:
    """Works on as many requests at once as it has slots; the others wait.

    Parameters
    ----------
    name : str
        Id of the target.
    slots : int
        Requests in work at once.
    max_waiting : int
        Requests that wait; further ones are shed.
    """

    __slots__ = ("name", "slots", "_max_waiting", "_in_work", "_waiting")

    def __init__(self, name: str, slots: int, max_waiting: int = 10**9) -> None:
        self.name = name
        self.slots = slots
        self._max_waiting = max_waiting
        self._in_work = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def load(self) -> int:
        """Requests in work and waiting."""
        return self._in_work + len(self._waiting)

    def arrive(self, begin: Callable[[], None]) -> bool:
        """Take a request and call `begin` once it has a slot; False when shed."""
        if self._in_work < self.slots:
            self._in_work += 1
            begin()
            return True
        if len(self._waiting) >= self._max_waiting:
            return False
        self._waiting.append(begin)
        return True

    def finish(self) -> None:
        """End one request in work."""
        if self._waiting and self._in_work <= self.slots:
            self._waiting.popleft()()
            return
        self._in_work -= 1
