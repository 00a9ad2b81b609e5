"""A second attempt that runs while the first one still waits for its target."""

from collections.abc import Callable

import gevent
from result import Result

from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.http.response import Response

Outcome = Result[Response, EntryRefusal]


class Hedge:
    """Starts the second attempt once the response to the first one is overdue.

    The first attempt goes on, because its target may still be at work. The attempt
    that gets a response first serves the caller.

    Parameters
    ----------
    may_start : callable
        Returns whether the second attempt may start; called until it does.
    deliver : callable
        Makes the second attempt and, if it fails, further ones.
    """

    __slots__ = ("_may_start", "_deliver", "_greenlet", "_cancelled")

    def __init__(
        self, may_start: Callable[[], bool], deliver: Callable[[], Outcome]
    ) -> None:
        self._may_start = may_start
        self._deliver = deliver
        self._greenlet: gevent.Greenlet | None = None
        self._cancelled = False

    @property
    def started(self) -> bool:
        """Whether the second attempt has started."""
        return self._greenlet is not None

    def poll(self) -> bool:
        """Start the second attempt if it may; return whether it has a response."""
        if self._cancelled:
            return False
        if self._greenlet is None:
            if self._may_start():
                self._greenlet = gevent.spawn(self._deliver)
            return False
        return self._greenlet.successful() and self._greenlet.value.is_ok()

    def wait(self) -> Outcome | None:
        """Wait for the second attempt; return None if it has not started."""
        return None if self._greenlet is None else self._greenlet.get()

    def cancel(self) -> None:
        """End the second attempt or keep it from starting; close its response."""
        has_response = self._greenlet is not None and self.poll()
        self._cancelled = True
        if self._greenlet is None:
            return
        if has_response:
            close = getattr(self._greenlet.value.ok_value.body, "close", None)
            if close is not None:
                close()
        self._greenlet.kill(block=False)
