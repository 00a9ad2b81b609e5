"""How the owner of a key runs the request."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest


class RunResult(Struct, frozen=True, array_like=True):
    """How a run ended.

    Parameters
    ----------
    run : RunState
        ``NOT_RUN`` only when proved: a refused connection, a queue that refused
        or the service's marker in a complete answer.
    answer : Answer or None
        The complete answer; None when there was none.
    """

    run: RunState
    answer: Answer | None = None


class Runner(Protocol):
    """Sends a request to a target."""

    def run(self, request: KeyedRequest, may_send: Callable[[], bool]) -> RunResult:
        """Run `request` once.

        Parameters
        ----------
        request : KeyedRequest
            The whole request.
        may_send : callable
            Must be true just before the first byte is written; otherwise the
            result is ``NOT_RUN``.
        """
        ...
