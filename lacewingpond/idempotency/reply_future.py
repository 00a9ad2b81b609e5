"""A place where one greenlet waits for one reply."""

import gevent
from gevent.event import Event

from lacewingpond.idempotency.reply import Reply
from lacewingpond.util.clock import Clock


class Mailbox:
    """Takes one reply."""

    __slots__ = ("_reply", "_event")

    def __init__(self) -> None:
        self._reply: Reply | None = None
        self._event = Event()

    def put(self, reply: Reply) -> None:
        """Leave the reply; only the first one counts."""
        if self._reply is None:
            self._reply = reply
        self._event.set()

    def get(self, clock: Clock, seconds: float) -> Reply | None:
        """Wait for the reply, at most `seconds`."""
        if self._reply is None:
            timer = gevent.spawn(self._ring, clock, seconds)
            self._event.wait()
            self._event.clear()
            timer.kill(block=False)
        return self._reply

    def _ring(self, clock: Clock, seconds: float) -> None:
        clock.sleep(seconds)
        self._event.set()
