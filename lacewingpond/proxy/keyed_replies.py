"""What callers of keyed requests are told."""

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.proxy.refused import Refused

REPLAYED_HEADER = "Idempotency-Replayed"
RETRY_AFTER_S = 1.0
DETAILS = {
    ReplyKind.FAILED: "The request got no answer from a target.",
    ReplyKind.NOT_KEPT: "The request ran before, but its answer is no longer kept.",
    ReplyKind.MISMATCH: "The key was used for another request.",
    ReplyKind.BAD_KEY: "The key is empty, too long or not printable.",
    ReplyKind.TOO_LARGE: "The body is too long for a request with a key.",
    ReplyKind.FUTURE_KEY: "The key is a UUIDv7 from the future.",
    ReplyKind.FULL: "Too many keyed requests run at once.",
    ReplyKind.TAKEN_OVER: "An earlier request with this key may have run.",
    ReplyKind.KEY_TOO_OLD: "The key is older than keys are remembered.",
    ReplyKind.STILL_RUNNING: "An earlier request with this key is still running.",
    ReplyKind.NO_OWNER: "The VM that remembers this key can't be asked now.",
    ReplyKind.NOT_SENT: "The VM that remembers this key can't be reached now.",
    ReplyKind.NO_REPLY: "The VM that remembers this key gave no answer.",
}


def to_response(reply: Reply) -> Response | Refused:
    """Return the stored answer as a response, or why there is none."""
    if reply.answer is not None:
        headers = Headers(reply.answer.headers)
        if reply.is_repeat:
            headers.set(REPLAYED_HEADER, "true")
        return Response(reply.answer.status, headers, reply.answer.body)
    # A request that ran without an answer to give is unknown to its caller.
    run = RunState.UNKNOWN if reply.run is RunState.RAN else reply.run
    retry_after_s = RETRY_AFTER_S if reply.status >= 500 else None
    detail = DETAILS[reply.kind]
    return Refused(reply.status, run, reply.kind.value, detail, retry_after_s)
