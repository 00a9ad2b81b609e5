"""A second attempt that runs while the first one still waits for its target."""

from collections.abc import Callable

import gevent
from result import Result

from lacewingpond.http.response import Response

Outcome = Result[Response, object]
Attempt = Callable[[], Outcome | None]
"""Makes an attempt; returns its outcome if that ends the request, else None."""


class Hedge:
    """Makes second attempts, one at a time, once the response to the first is overdue.

    The first attempt goes on, because its target may still be at work. The attempt
    that ends the request first serves the caller.

    Parameters
    ----------
    prepare : callable
        Returns the next attempt, or None if there may be none now.
    on_error : callable
        Called with an unexpected exception, after which no attempt starts. The first
        attempt goes on.

    """

    __slots__ = ("_prepare", "_on_error", "_greenlet", "_outcome", "_cancelled")

    def __init__(
        self,
        prepare: Callable[[], Attempt | None],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._prepare = prepare
        self._on_error = on_error
        self._greenlet: gevent.Greenlet | None = None
        self._outcome: Outcome | None = None
        self._cancelled = False

    def poll(self) -> bool:
        """Start an attempt if none runs; return whether one has ended the request."""
        if self._outcome is not None or self._cancelled:
            return self._outcome is not None
        if self._greenlet is None or self._greenlet.ready():
            self._start()
        return False

    def take(self) -> Outcome | None:
        """Wait for a running attempt and return its outcome, if that ends the request.

        No other attempt starts.
        """
        if self._greenlet is not None:
            self._greenlet.join()
        self._cancelled = True
        outcome, self._outcome = self._outcome, None
        return outcome

    def cancel(self) -> None:
        """End a running attempt, close a response not taken, and start no other."""
        self._cancelled = True
        outcome, self._outcome = self._outcome, None
        _close_response(outcome)
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _start(self) -> None:
        try:
            attempt = self._prepare()
        except Exception as exc:
            self._cancelled = True
            self._on_error(exc)
            return
        if attempt is not None:
            self._greenlet = gevent.spawn(self._run, attempt)

    def _run(self, attempt: Attempt) -> None:
        try:
            outcome = attempt()
        except Exception as exc:
            self._cancelled = True
            self._on_error(exc)
            return
        if self._cancelled:
            _close_response(outcome)
        else:
            self._outcome = outcome


def _close_response(outcome: Outcome | None) -> None:
    """Free the connection of a response that nobody will read."""
    if outcome is None or outcome.is_err():
        return
    close = getattr(outcome.ok_value.body, "close", None)
    if close is not None:
        close()
