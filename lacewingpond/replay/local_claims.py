"""The simple way: each VM remembers only the keys that it has seen itself."""

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.idempotency.runner import Runner


class LocalClaims:
    """Runs a key once on each VM.

    Parameters
    ----------
    runner : Runner
        Sends a request to a target.
    """

    __slots__ = ("_runner", "_replies")

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self._replies: dict[str, Reply | None] = {}

    def remember(self, request: KeyedRequest, reply: Reply) -> None:
        """Keep a reply that is known already."""
        self._replies[request.name] = reply

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply of this VM's first attempt, or run the request."""
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
