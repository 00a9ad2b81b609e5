"""HTTP load generator for benchmarks, with an open and a closed loop."""

import random
import socket
from collections import deque

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lacewingpond.util.clock import Clock

US_PER_S = 1e6
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MAX_RECEIVE_BYTES = 65_536
_HEADERS_END = b"\r\n\r\n"
_CONTENT_LENGTH = b"content-length: "


class OpenLoopResult(Struct, frozen=True):
    """Results of an open loop.

    Parameters
    ----------
    histogram : HdrHistogram
        Latencies of successful requests, in microseconds.
    failed : int
        Requests without a complete response of status 200.
    """

    histogram: HdrHistogram
    failed: int

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / US_PER_S * 1e3


class FailedCallError(Exception):
    """The status of a response was not 200."""


class BenchCaller:
    """Sends one request repeatedly over keep-alive connections.

    It does little work per request, so that its own cost hardly affects the results.

    Parameters
    ----------
    port : int
        Port of the server on loopback.
    request : bytes
        Request line, headers and body. The response must have a ``Content-Length``.
    clock : Clock
        Source of time for latencies and the schedule.
    """

    __slots__ = ("_port", "_request", "_clock", "_idle")

    def __init__(self, port: int, request: bytes, clock: Clock) -> None:
        self._port = port
        self._request = request
        self._clock = clock
        self._idle: deque[socket.socket] = deque()

    def call(self) -> None:
        """Send one request and read the complete response.

        Raises
        ------
        FailedCallError
            If the status is not 200.
        OSError
            If the connection fails or is closed before the response is complete.
        """
        sock = self._idle.pop() if self._idle else self.connect()
        try:
            sock.sendall(self._request)
            read_response(sock)
        except BaseException:
            sock.close()
            raise
        self._idle.append(sock)

    def connect(self) -> socket.socket:
        """Return a new connection to the server."""
        sock = socket.create_connection(("127.0.0.1", self._port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def open_loop(self, rate: float, count: int, rng: random.Random) -> OpenLoopResult:
        """Send `count` requests at random times, independent of the responses.

        Latency is measured from the time at which a request was due, so that a
        stall counts for every request that was due during it.

        Parameters
        ----------
        rate : float
            Mean requests per second; the times between them are exponential.
        count : int
            Number of requests.
        rng : random.Random
            Source of the times between requests.
        """
        histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        greenlets = Pool()
        due_at = self._clock.now()
        for _ in range(count):
            due_at += rng.expovariate(rate)
            self._clock.sleep(max(due_at - self._clock.now(), 0.0))
            greenlets.spawn(self._timed_call, due_at, histogram)
        greenlets.join()
        return OpenLoopResult(histogram, count - histogram.get_total_count())

    def closed_loop(self, callers: int, count: int) -> None:
        """Send `count` requests from `callers` greenlets, each one after the other.

        Raises
        ------
        FailedCallError, OSError
            If a call fails.
        """
        calls_per_caller = count // callers
        greenlets = [
            gevent.spawn(self._call_repeatedly, calls_per_caller)
            for _ in range(callers)
        ]
        gevent.joinall(greenlets, raise_error=True)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _timed_call(self, due_at: float, histogram: HdrHistogram) -> None:
        try:
            self.call()
        except (FailedCallError, OSError):
            # A request that is missing from the histogram counts as failed.
            return
        latency_us = (self._clock.now() - due_at) * US_PER_S
        histogram.record_value(max(int(latency_us), MIN_LATENCY_US))

    def _call_repeatedly(self, count: int) -> None:
        for _ in range(count):
            self.call()


def read_response(sock: socket.socket) -> None:
    """Read one complete response.

    Raises
    ------
    FailedCallError
        If the status is not 200.
    OSError
        If the connection fails or is closed before the response is complete.
    """
    data = b""
    while _HEADERS_END not in data:
        data += _receive(sock)
    headers, _, body = data.partition(_HEADERS_END)
    if not headers.startswith(b"HTTP/1.1 200 "):
        raise FailedCallError(headers[:80].decode("latin-1"))
    length = int(headers.lower().partition(_CONTENT_LENGTH)[2].split(b"\r\n")[0])
    remaining_bytes = length - len(body)
    while remaining_bytes > 0:
        remaining_bytes -= len(_receive(sock))


def _receive(sock: socket.socket) -> bytes:
    data = sock.recv(MAX_RECEIVE_BYTES)
    if not data:
        raise ConnectionError("the server closed the connection")
    return data
