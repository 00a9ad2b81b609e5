"""A target's answer, streamed as it comes."""

from collections.abc import Callable, Iterator
from enum import Enum

import gevent
from urllib3.response import HTTPResponse

from lacewingpond.http.headers import Headers
from lacewingpond.routing.hop_by_hop import headers_to_caller
from lacewingpond.targets.connection import TargetConnection
from lacewingpond.targets.errors import AnswerCutError, ExchangeError, SendReason
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.pool import ConnectionPool


class AnswerEnd(Enum):
    """How an answer ended."""

    COMPLETE = "complete"
    CUT = "cut"
    """The target or the network broke it off."""
    ABANDONED = "abandoned"
    """Nobody wanted the rest."""


class TargetResponse:
    """An answer whose head has come.

    Iterating gives the body in blocks and raises `AnswerCutError` when it is cut
    short. `close` must be called in the end, whether the body was read or not.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : Headers
        Fields that the caller may see.
    end : AnswerEnd or None
        How it ended; None while it lasts.
    on_end : callable or None
        Called once with the `AnswerEnd`.
    cut_reason : SendReason or None
        What broke it off, if anything did.
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
        "_abandoned",
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
        self.end: AnswerEnd | None = None
        self.on_end: Callable[[AnswerEnd], None] | None = None
        self.cut_reason: SendReason | None = None
        self.reused = conn.reused
        self._raw = raw
        self._conn = conn
        self._pool = pool
        self._options = options
        self._idempotent = idempotent
        self._abandoned = False
        if raw.length_remaining == 0:
            self._read()

    def __iter__(self) -> Iterator[bytes]:
        while self.end is None:
            data = self._read()
            if data:
                yield data

    def limit_time(self, deadline: float) -> None:
        """Cut the answer off if its body is not whole by `deadline`."""
        self._conn.stream_until(deadline)

    def close(self) -> None:
        """Let go of the answer, complete or not."""
        if self.end is not None:
            return
        if self._idempotent:
            self._finish(AnswerEnd.ABANDONED)
            return
        # A non-idempotent request is left to finish although its caller has gone.
        gevent.spawn(self._read_abandoned)

    def _read(self) -> bytes:
        try:
            data = self._raw.read1(self._options.read_bytes, decode_content=False)
        except ExchangeError as exc:
            self._break_off(exc.reason)
            raise AnswerCutError(exc.reason, exc.detail) from exc
        except Exception as exc:
            self._break_off(SendReason.BROKEN)
            raise AnswerCutError(SendReason.BROKEN, str(exc)) from exc
        if not data:
            self._finish(AnswerEnd.COMPLETE)
        return data

    def _break_off(self, reason: SendReason) -> None:
        self.cut_reason = reason
        # What ends for want of a caller says nothing about the target.
        unwanted = reason is SendReason.CALLER_GONE or (
            self._abandoned and reason is SendReason.DEADLINE
        )
        self._finish(AnswerEnd.ABANDONED if unwanted else AnswerEnd.CUT)

    def _read_abandoned(self) -> None:
        self._abandoned = True
        self._conn.abandon(self._options.abandoned_body_s)
        self._conn.reusable = False
        try:
            while self.end is None:
                self._read()
        except AnswerCutError:
            # Nobody waits for this answer, and its end has been recorded.
            return

    def _finish(self, end: AnswerEnd) -> None:
        if self.end is not None:
            return
        self.end = end
        if end is AnswerEnd.COMPLETE and self._conn.is_complete():
            self._pool.release(self._conn)
        else:
            self._pool.discard(self._conn)
        if self.on_end is not None:
            self.on_end(end)
