"""A pooled connection and the HTTP exchange that it carries."""

import math
from collections import deque
from collections.abc import Callable

from gevent.socket import wait_read
from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from lacewingpond.targets.early_response import holds_final_response, peek
from lacewingpond.targets.errors import ExchangeError, SendReason
from lacewingpond.targets.http_connection import TargetHttpConnection
from lacewingpond.targets.keep_alive import REUSE_RATIO, idle_timeout_s
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.request import OVERDUE_CHECK_S, TargetRequest
from lacewingpond.util.clock import Clock
from lacewingpond.util.sockets import SocketState, socket_state

MAX_CARRIED_IDS = 8
"""Ids that a connection remembers; only this fleet sends a request more than once."""


class TargetConnection:
    """A connection to a target; it carries one exchange at a time.

    Parameters
    ----------
    host, port : str, int
        Address of the target.
    options : TargetOptions
        Timeouts.
    clock : Clock
        Time source of ages and deadlines.
    expires_at : float
        Time at which it is replaced, in monotonic seconds.

    Attributes
    ----------
    last_active_at : float
        Time of the last response, or of opening the connection.
    marked_silent : bool
        True when a newer connection got a response while this one got none.
    idle_timeout_s : float
        Idle time after which the target says that it closes the connection, in
        seconds; infinite if it does not say.
    reusable : bool
        False when it must be closed after the current exchange.
    sent_at : float
        Time at which the current request was sent.
    """

    __slots__ = (
        "_carried_ids",
        "opened_at",
        "last_active_at",
        "expires_at",
        "exchange_count",
        "idle_timeout_s",
        "marked_silent",
        "reusable",
        "sent_at",
        "_http",
        "_options",
        "_clock",
        "_deadline",
        "_method",
        "_expected_id",
        "_is_disconnected",
        "_gives_up_silent",
        "_on_overdue",
        "_overdue_at",
        "_overdue_check_s",
    )

    def __init__(
        self,
        host: str,
        port: int,
        options: TargetOptions,
        clock: Clock,
        expires_at: float,
    ) -> None:
        self.opened_at = clock.now()
        self.last_active_at = self.opened_at
        self.expires_at = expires_at
        self.exchange_count = 0
        self.idle_timeout_s = math.inf
        self.marked_silent = False
        self.reusable = True
        self.sent_at = 0.0
        self._http = TargetHttpConnection(host, port, self._wait, self._check_stalled)
        self._options = options
        self._clock = clock
        self._deadline = 0.0
        self._method = ""
        self._expected_id: str | None = None
        self._carried_ids: deque[str] = deque(maxlen=MAX_CARRIED_IDS)
        self._is_disconnected: Callable[[], bool] | None = None
        self._gives_up_silent = False
        self._on_overdue: Callable[[], bool] | None = None
        self._overdue_at = math.inf
        self._overdue_check_s = OVERDUE_CHECK_S

    @property
    def reused(self) -> bool:
        """Whether it has carried an exchange before the current one."""
        return self.exchange_count > 1

    @property
    def bytes_sent(self) -> int:
        """Bytes of the current request that were sent."""
        return self._http.bytes_sent

    def open(self, timeout_s: float) -> None:
        """Open the connection; raises the errors of urllib3."""
        self._http.timeout = timeout_s
        self._http.connect()
        self.opened_at = self.last_active_at = self._clock.now()

    def may_be_reused(self, now: float) -> bool:
        """Return whether it is young, and its target does not close it soon."""
        idle_s = now - self.last_active_at
        return now < self.expires_at and idle_s <= self.idle_timeout_s * REUSE_RATIO

    def has_carried(self, req: TargetRequest) -> bool:
        """Return whether it has carried a request with the same id.

        A target that repeats its response to that one could not be told from one that
        responds to `req`.
        """
        request_id = req.headers.get(self._options.answer_id_header)
        return request_id is not None and request_id in self._carried_ids

    def is_clean(self) -> bool:
        """Return whether it is open and has no unread bytes."""
        sock = self._http.sock
        return sock is not None and socket_state(sock) is SocketState.NO_DATA

    def exchange(self, req: TargetRequest, deadline: float) -> HTTPResponse:
        """Send `req` and return the response as soon as its headers have arrived.

        The connection must be open. Only an idempotent request ends when its caller
        disconnects. Responses to other requests are skipped.

        Raises
        ------
        Exception
            Any error that ends the exchange; `bytes_sent` is the number of bytes sent
            by then.
        """
        self.exchange_count += 1
        self._http.bytes_sent = 0
        self._deadline = deadline
        self._gives_up_silent = req.idempotent and req.on_overdue is None
        self._on_overdue = req.on_overdue
        self._overdue_at = req.overdue_at
        self._overdue_check_s = req.overdue_check_s
        self._is_disconnected = req.is_disconnected if req.idempotent else None
        self._method = req.method
        self._expected_id = req.headers.get(self._options.answer_id_header)
        self._http.set_expected_id(self._options.answer_id_header, self._expected_id)
        if self._expected_id is not None:
            self._carried_ids.append(self._expected_id)
        if req.may_send is not None and not req.may_send():
            raise ExchangeError(SendReason.MAY_NOT_SEND)
        self.sent_at = self._clock.now()
        self._send(req)
        self.sent_at = self._clock.now()
        response = self._http.getresponse()
        self._gives_up_silent = False
        self._overdue_check_s = OVERDUE_CHECK_S  # pauses of a stream may be long
        self.idle_timeout_s = idle_timeout_s(response.headers.get("Keep-Alive"))
        self.last_active_at = self._clock.now()
        return response

    def clear_deadline(self) -> None:
        """Let the response body take longer than the request's deadline."""
        self._deadline = float("inf")

    def set_deadline(self, deadline: float) -> None:
        """Limit the response body to `deadline`, in monotonic seconds."""
        self._deadline = deadline

    def detach_caller(self, seconds: float) -> None:
        """Stop checking the caller, and limit further reading to `seconds`."""
        self._is_disconnected = None
        self._deadline = self._clock.now() + seconds

    def is_response_complete(self) -> bool:
        """Return whether the response was read whole, with no bytes after it."""
        final_response = self._http.final_response
        return (
            final_response is not None
            and final_response.isclosed()
            and not final_response.has_trailing_bytes
        )

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        if self._http.final_response is not None:
            self._http.final_response.close()
        self._http.close()

    def _send(self, req: TargetRequest) -> None:
        try:
            self._http.timeout = self._options.caller_check_s
            self._http.request(
                req.method,
                req.path,
                body=req.body,
                headers=self._headers(req),
                chunked=req.body is not None and req.content_length is None,
                preload_content=False,
                decode_content=False,
            )
        except OSError:
            self.reusable = False
            if not self._has_unread_bytes():
                raise

    def _headers(self, req: TargetRequest) -> HTTPHeaderDict:
        headers = _request_headers(req)
        headers[self._options.deadline_header] = str(self._remaining_ms())
        return headers

    def _check_stalled(self) -> None:
        """Raise if no more of the request is to be sent."""
        if self._has_early_response():
            raise BrokenPipeError(
                "the target responded or closed its side before it read the body"
            )
        now = self._clock.now()
        if now >= self._deadline:
            raise ExchangeError(
                SendReason.DEADLINE, "the target did not read the body by the deadline"
            )
        self._check_caller()
        if self._on_overdue is not None:
            self._check_overdue(now, self.sent_at)

    def _has_early_response(self) -> bool:
        """Return whether the target's response, or none, comes before the whole body.

        Interim responses and responses to other requests may come before it is read.
        """
        sock = self._http.sock
        if self._http.bytes_sent == 0 or sock is None:
            return False
        data, is_closed = peek(sock)
        return is_closed or holds_final_response(
            data, self._method, self._options.answer_id_header, self._expected_id
        )

    def _has_unread_bytes(self) -> bool:
        """Return whether a broken connection may still hold the response."""
        sock = self._http.sock
        if self._http.bytes_sent == 0 or sock is None:
            return False
        return socket_state(sock) is SocketState.READABLE

    def _remaining_ms(self) -> int:
        return max(int((self._deadline - self._clock.now()) * 1000.0), 1)

    def _wait(self, fileno: int) -> None:
        started = self._clock.now()
        idle_end = started + self._options.body_idle_s
        wait_end = min(self._deadline, idle_end)
        while True:
            now = self._clock.now()
            if now >= wait_end:
                raise ExchangeError(
                    SendReason.DEADLINE, "the target sent no bytes by the deadline"
                )
            step = self._check_interval(now, started)
            if _is_readable(fileno, min(wait_end - now, step)):
                return
            self._check_caller()
            self._check_overdue(self._clock.now(), started)

    def _check_interval(self, now: float, started: float) -> float:
        if self._on_overdue is not None and self._is_overdue(now, started):
            return self._overdue_check_s
        # The interval grows with the wait, since thousands of streams may be idle.
        interval_s = min(now - started, self._options.caller_check_max_s)
        interval_s = max(self._options.caller_check_s, interval_s)
        if self._on_overdue is not None and now < self._overdue_at:
            return min(interval_s, self._overdue_at - now)
        return interval_s

    def _check_caller(self) -> None:
        if self._is_disconnected is not None and self._is_disconnected():
            raise ExchangeError(SendReason.CALLER_DISCONNECTED)

    def _check_overdue(self, now: float, started: float) -> None:
        if not self._is_overdue(now, started):
            return
        if self._gives_up_silent:
            raise ExchangeError(SendReason.SILENT_CONNECTION)
        if self._on_overdue is not None and self._on_overdue():
            raise ExchangeError(SendReason.SUPERSEDED)

    def _is_overdue(self, now: float, started: float) -> bool:
        if now >= self._overdue_at:
            return True
        return self.marked_silent and now - started >= self._options.silent_after_s


def _is_readable(fileno: int, timeout_s: float) -> bool:
    try:
        wait_read(fileno, timeout=timeout_s)
    except TimeoutError:
        return False
    return True


def _request_headers(req: TargetRequest) -> HTTPHeaderDict:
    headers = HTTPHeaderDict()
    for name, value in req.headers:
        headers.add(name, value)
    # The length is that of the body sent here, which may be framed differently from
    # the caller's.
    headers.discard("Content-Length")
    if req.body is not None and req.content_length is not None:
        headers["Content-Length"] = str(req.content_length)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            # Keeps urllib3 from adding headers that the caller did not send.
            headers[name] = SKIP_HEADER
    return headers
