"""Streamed responses of targets."""

from collections.abc import Callable, Iterator
from enum import Enum

import gevent
from urllib3.response import HTTPResponse

from lacewingpond.http.headers import Headers
from lacewingpond.routing.forwarded_headers import headers_to_caller
from lacewingpond.targets.connection import TargetConnection
from lacewingpond.targets.errors import (
    ExchangeError,
    SendReason,
    TruncatedResponseError,
)
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.pool import ConnectionPool

MAX_ABANDONED_BYTES = 1_048_576
"""Most bytes of a body that nobody needs that are read; an endless one is closed."""


class ResponseEnd(Enum):
    """How a response ended."""

    COMPLETE = "complete"
    CUT = "cut"
    """The target or the network ended it early, or its deadline passed."""
    ABANDONED = "abandoned"
    """The caller disconnected, or the response was closed, before it was complete."""


class TargetResponse:
    """A response whose headers have arrived.

    Iterating yields the body in blocks and raises `TruncatedResponseError` when the
    body ends early. `close` must be called at the end, whether the body was read or
    not.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : Headers
        Headers that the caller may see.
    end : ResponseEnd or None
        How the response ended; None until it has.
    on_end : callable or None
        Called once with the `ResponseEnd`.
    cut_reason : SendReason or None
        Why the response ended early, if it did.
    reused : bool
        Whether the connection had carried an earlier request.
    """

    __slots__ = (
        "status",
        "reason",
        "headers",
        "end",
        "on_end",
        "cut_reason",
        "reused",
        "_raw",
        "_conn",
        "_pool",
        "_options",
        "_idempotent",
        "_caller_disconnected",
    )

    def __init__(
        self,
        raw: HTTPResponse,
        conn: TargetConnection,
        pool: ConnectionPool,
        options: TargetOptions,
        idempotent: bool,
    ) -> None:
        self.status = raw.status
        self.reason = raw.reason or ""
        self.headers = headers_to_caller(Headers(raw.headers.iteritems()))
        self.end: ResponseEnd | None = None
        self.on_end: Callable[[ResponseEnd], None] | None = None
        self.cut_reason: SendReason | None = None
        self.reused = conn.reused
        self._raw = raw
        self._conn = conn
        self._pool = pool
        self._options = options
        self._idempotent = idempotent
        self._caller_disconnected = False
        if raw.length_remaining == 0:
            self._read()

    def __iter__(self) -> Iterator[bytes]:
        while self.end is None:
            data = self._read()
            if data:
                yield data

    def set_deadline(self, deadline: float) -> None:
        """End the response if its body is not complete by `deadline`."""
        self._conn.set_deadline(deadline)

    def close(self) -> None:
        """End the use of the response; does nothing if it has ended already.

        An incomplete response to an idempotent request is abandoned and its connection
        closed. One to a non-idempotent request is read on in the background, for
        `abandoned_body_s` and `MAX_ABANDONED_BYTES` at most; `end` is None until then.
        """
        if self.end is not None:
            return
        if self._idempotent:
            self._finish(ResponseEnd.ABANDONED)
            return
        # A non-idempotent request runs to its end although its caller disconnected.
        gevent.spawn(self._read_to_end)

    def _read(self) -> bytes:
        try:
            data = self._raw.read1(self._options.read_bytes, decode_content=False)
        except ExchangeError as exc:
            self._fail(exc.reason)
            raise TruncatedResponseError(exc.reason, exc.detail) from exc
        except Exception as exc:
            self._fail(SendReason.BROKEN)
            raise TruncatedResponseError(SendReason.BROKEN, str(exc)) from exc
        if not data:
            self._finish(ResponseEnd.COMPLETE)
        return data

    def _fail(self, reason: SendReason) -> None:
        self.cut_reason = reason
        # An end because the caller disconnected says nothing about the target.
        caller_disconnected = reason is SendReason.CALLER_DISCONNECTED or (
            self._caller_disconnected and reason is SendReason.DEADLINE
        )
        self._finish(ResponseEnd.ABANDONED if caller_disconnected else ResponseEnd.CUT)

    def _read_to_end(self) -> None:
        self._caller_disconnected = True
        self._conn.detach_caller(self._options.abandoned_body_s)
        self._conn.reusable = False
        left = MAX_ABANDONED_BYTES
        try:
            while self.end is None and left > 0:
                left -= len(self._read())
        except TruncatedResponseError:
            # No caller waits for this response, and `_fail` has recorded its end.
            return
        self._finish(ResponseEnd.ABANDONED)

    def _finish(self, end: ResponseEnd) -> None:
        if self.end is not None:
            return
        self.end = end
        if end is ResponseEnd.COMPLETE and self._conn.is_response_complete():
            self._pool.release(self._conn)
        else:
            self._pool.discard(self._conn)
        if self.on_end is not None:
            self.on_end(end)
