"""Interface through which the owner of a key runs the request."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest


class RunResult(Struct, frozen=True, array_like=True):
    """Result of a run.

    Parameters
    ----------
    run : RunState
        ``NOT_RUN`` only with proof: a refused connection, a refusal by the queue or
        the service's marker in a complete answer.
    answer : Answer or None
        The complete answer, if any.
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
            The complete request.
        may_send : callable
            Called just before the first byte is sent; when it returns False, nothing
            is sent and the result is ``NOT_RUN``.

        Returns
        -------
        RunResult
            Whether the request ran, and its answer.
        """
        ...
