"""One connection of a pool and the exchange that it carries."""

from collections.abc import Callable

from gevent.socket import wait_read
from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from lacewingpond.targets.errors import ExchangeError, SendReason
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.request import TargetRequest
from lacewingpond.targets.wire import TargetWire
from lacewingpond.util.clock import Clock
from lacewingpond.util.sockets import SocketState, socket_state


class TargetConnection:
    """A connection to a target; it carries one exchange at a time.

    Parameters
    ----------
    host, port : str, int
        Address of the target.
    options : TargetOptions
        Timeouts.
    clock : Clock
        Measures ages and deadlines.
    expires_at : float
        When it is replaced, in monotonic seconds.
    """

    __slots__ = (
        "opened_at",
        "last_heard_at",
        "expires_at",
        "exchanges",
        "condemned",
        "reusable",
        "sent_at",
        "_wire",
        "_options",
        "_clock",
        "_deadline",
        "_is_disconnected",
        "_may_give_up",
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
        self.last_heard_at = self.opened_at
        self.expires_at = expires_at
        self.exchanges = 0
        self.condemned = False
        self.reusable = True
        self.sent_at = 0.0
        self._wire = TargetWire(host, port, self._wait, self._check_stalled)
        self._options = options
        self._clock = clock
        self._deadline = 0.0
        self._is_disconnected: Callable[[], bool] | None = None
        self._may_give_up = False

    @property
    def reused(self) -> bool:
        """Whether it carried an exchange before the current one."""
        return self.exchanges > 1

    @property
    def bytes_sent(self) -> int:
        """Bytes of the current request that have left."""
        return self._wire.bytes_sent

    def open(self, timeout_s: float) -> None:
        """Open the connection; raises what urllib3 raises."""
        self._wire.timeout = timeout_s
        self._wire.connect()
        self.opened_at = self.last_heard_at = self._clock.now()

    def is_clean(self) -> bool:
        """Return whether the target has neither closed it nor sent stray bytes."""
        sock = self._wire.sock
        return sock is not None and socket_state(sock) is SocketState.QUIET

    def exchange(self, req: TargetRequest, deadline: float) -> HTTPResponse:
        """Send `req` and wait for the head of its answer.

        Raises
        ------
        Exception
            Whatever ends the exchange; `bytes_sent` tells if anything has left.
        """
        self.exchanges += 1
        self._wire.bytes_sent = 0
        self._deadline = deadline
        self._may_give_up = req.idempotent
        self._is_disconnected = req.is_disconnected if req.idempotent else None
        self._wire.expect_answer(
            self._options.answer_id_header,
            req.headers.get(self._options.answer_id_header),
        )
        if req.may_send is not None and not req.may_send():
            raise ExchangeError(SendReason.OWNERSHIP_LOST)
        self.sent_at = self._clock.now()
        self._send(req)
        self.sent_at = self._clock.now()
        response = self._wire.getresponse()
        self.last_heard_at = self._clock.now()
        return response

    def stream(self) -> None:
        """Wait for the body from now on, which may outlast the deadline."""
        self._deadline = float("inf")

    def stream_until(self, deadline: float) -> None:
        """Wait for the body no longer than to `deadline`, in monotonic seconds."""
        self._deadline = deadline

    def abandon(self, seconds: float) -> None:
        """Read on without a caller for at most `seconds`."""
        self._is_disconnected = None
        self._deadline = self._clock.now() + seconds

    def is_complete(self) -> bool:
        """Return whether the answer ended just where its framing says."""
        answer = self._wire.answer
        return answer is not None and answer.isclosed() and not answer.leftover

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        if self._wire.answer is not None:
            self._wire.answer.close()
        self._wire.close()

    def _send(self, req: TargetRequest) -> None:
        try:
            self._wire.timeout = self._options.caller_check_s
            self._wire.request(
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
            if not self._answered_early():
                raise

    def _headers(self, req: TargetRequest) -> HTTPHeaderDict:
        headers = _wire_headers(req)
        headers[self._options.deadline_header] = str(self._remaining_ms())
        return headers

    def _check_stalled(self) -> None:
        if self._answered_early():
            raise BrokenPipeError("the target answered before it read the body")
        if self._clock.now() >= self._deadline:
            raise ExchangeError(SendReason.DEADLINE, "the body was not taken in time")
        self._check_caller()

    def _answered_early(self) -> bool:
        """Whether the target broke the request off with an answer."""
        sock = self._wire.sock
        if self._wire.bytes_sent == 0 or sock is None:
            return False
        return socket_state(sock) is SocketState.READABLE

    def _remaining_ms(self) -> int:
        return max(int((self._deadline - self._clock.now()) * 1000.0), 1)

    def _wait(self, fileno: int) -> None:
        started = self._clock.now()
        idle_end = started + self._options.body_idle_s
        end = min(self._deadline, idle_end)
        while True:
            now = self._clock.now()
            if now >= end:
                raise ExchangeError(SendReason.DEADLINE, "no bytes in time")
            step = self._check_interval(now - started)
            if _readable(fileno, min(end - now, step)):
                return
            self._check_caller()
            self._check_silence(self._clock.now() - started)

    def _check_interval(self, waited_s: float) -> float:
        # Checks grow rarer, because thousands of quiet streams may be held.
        rarer = min(waited_s, self._options.caller_check_max_s)
        return max(self._options.caller_check_s, rarer)

    def _check_caller(self) -> None:
        if self._is_disconnected is not None and self._is_disconnected():
            raise ExchangeError(SendReason.CALLER_GONE)

    def _check_silence(self, waited_s: float) -> None:
        silent = self.condemned and self._may_give_up
        if silent and waited_s >= self._options.silent_after_s:
            raise ExchangeError(SendReason.SILENT_CONNECTION)


def _readable(fileno: int, timeout_s: float) -> bool:
    try:
        wait_read(fileno, timeout=timeout_s)
    except TimeoutError:
        return False
    return True


def _wire_headers(req: TargetRequest) -> HTTPHeaderDict:
    headers = HTTPHeaderDict()
    for name, value in req.headers:
        headers.add(name, value)
    # The length of what is sent counts, not what the caller's framing was.
    headers.discard("Content-Length")
    if req.body is not None and req.content_length is not None:
        headers["Content-Length"] = str(req.content_length)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            # The caller's request stays as it was.
            headers[name] = SKIP_HEADER
    return headers
