"""Naive variant of idempotency keys: each VM knows only its own requests."""

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.idempotency.runner import Runner


class LocalClaims:
    """Runs each key once per VM, unless a run provably did not happen.

    Parameters
    ----------
    runner : Runner
        Sends requests to targets.
    """

    __slots__ = ("_runner", "_replies")

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self._replies: dict[str, Reply | None] = {}

    def remember(self, request: KeyedRequest, reply: Reply) -> None:
        """Store the reply to a request that has ended."""
        self._replies[request.name] = reply

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply to this VM's first attempt, or run the request.

        While the first attempt runs, the reply is `ReplyKind.STILL_RUNNING`.
        """
        if request.name in self._replies:
            known = self._replies[request.name]
            return known or Reply(ReplyKind.STILL_RUNNING, RunState.UNKNOWN)
        self._replies[request.name] = None
        result = self._runner.run(request, lambda: True)
        kind = ReplyKind.ANSWER if result.answer else ReplyKind.FAILED
        reply = Reply(kind, result.run, result.answer)
        self._replies[request.name] = reply
        if result.run is RunState.NOT_RUN:
            del self._replies[request.name]
        return reply
