"""Converts replies to requests with an idempotency key to HTTP responses."""

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.proxy.refusal import Refusal

REPLAYED_HEADER = "Idempotency-Replayed"
RETRY_AFTER_S = 1.0
REPLY_DETAILS = {
    ReplyKind.FAILED: "No target responded to the request.",
    ReplyKind.NOT_KEPT: "The request ran before, but its response is no longer stored.",
    ReplyKind.KEY_REUSED: "The key was already used for another request.",
    ReplyKind.BAD_KEY: "The key is empty, too long or not printable.",
    ReplyKind.TOO_LARGE: "The body is too long for a request with an idempotency key.",
    ReplyKind.FUTURE_KEY: "The key is a UUIDv7 whose timestamp lies in the future.",
    ReplyKind.TOO_MANY_KEYS: "Too many requests with idempotency keys are running.",
    ReplyKind.OWNER_REPLACED: "An earlier request with this key may have run.",
    ReplyKind.KEY_TOO_OLD: "The key is older than the time for which keys are stored.",
    ReplyKind.STILL_RUNNING: "An earlier request with this key is still running.",
    ReplyKind.NO_OWNER: "The VM that stores this key is not known at the moment.",
    ReplyKind.OWNER_UNREACHABLE: (
        "The VM that stores this key can't be reached at the moment."
    ),
    ReplyKind.OWNER_SILENT: "The VM that stores this key did not respond.",
}


def to_response(reply: Reply) -> Response | Refusal:
    """Return the stored response of a target, or a refusal without one."""
    if reply.answer is not None:
        headers = Headers(reply.answer.headers)
        if reply.is_repeat:
            headers.set(REPLAYED_HEADER, "true")
        return Response(reply.answer.status, headers, reply.answer.body)
    # Without the response the caller can't tell how the run ended.
    run = RunState.UNKNOWN if reply.run is RunState.RAN else reply.run
    retry_after_s = RETRY_AFTER_S if reply.status >= 500 else None
    detail = REPLY_DETAILS[reply.kind]
    return Refusal(reply.status, run, reply.kind.value, detail, retry_after_s)
