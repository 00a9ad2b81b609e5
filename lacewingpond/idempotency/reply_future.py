"""A future that holds the reply to a keyed request."""

import gevent
from gevent.event import Event

from lacewingpond.idempotency.reply import Reply
from lacewingpond.util.clock import Clock


class ReplyFuture:
    """Lets one greenlet wait for a reply."""

    __slots__ = ("_reply", "_event")

    def __init__(self) -> None:
        self._reply: Reply | None = None
        self._event = Event()

    def set_result(self, reply: Reply) -> None:
        """Set the reply; later calls do not replace it."""
        if self._reply is None:
            self._reply = reply
        self._event.set()

    def wait(self, clock: Clock, seconds: float) -> Reply | None:
        """Wait for the reply for at most `seconds`; return None on timeout."""
        if self._reply is None:
            timer = gevent.spawn(self._wake_after, clock, seconds)
            self._event.wait()
            self._event.clear()
            timer.kill(block=False)
        return self._reply

    def _wake_after(self, clock: Clock, seconds: float) -> None:
        clock.sleep(seconds)
        self._event.set()
