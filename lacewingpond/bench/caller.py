"""A lean caller for benchmarks: keep-alive connections and an open-loop schedule."""

import random
import socket
from collections import deque

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lacewingpond.util.clock import Clock

MICROSECONDS = 1e6
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
RECEIVE_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"
_LENGTH = b"content-length: "


class LoopResult(Struct, frozen=True):
    """What came of an open loop.

    Parameters
    ----------
    histogram : HdrHistogram
        Latencies of the requests that were answered, in microseconds.
    failed : int
        Requests that were refused or cut.
    """

    histogram: HdrHistogram
    failed: int

    def percentile_ms(self, percent: float) -> float:
        """Return a latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / MICROSECONDS * 1e3


class FailedCallError(Exception):
    """A call was not answered with 200."""


class BenchCaller:
    """Sends the same request over connections that it keeps.

    Parameters
    ----------
    port : int
        Port of the server on loopback.
    raw : bytes
        The whole request; its answer must have a ``Content-Length``.
    clock : Clock
        Measures latencies.
    """

    __slots__ = ("_port", "_raw", "_clock", "_free")

    def __init__(self, port: int, raw: bytes, clock: Clock) -> None:
        self._port = port
        self._raw = raw
        self._clock = clock
        self._free: deque[socket.socket] = deque()

    def call(self) -> None:
        """Send one request and read its whole answer.

        Raises
        ------
        FailedCallError, OSError
            When the answer is not 200, or does not come whole.
        """
        sock = self._free.pop() if self._free else self.connect()
        try:
            sock.sendall(self._raw)
            read_answer(sock)
        except BaseException:
            sock.close()
            raise
        self._free.append(sock)

    def connect(self) -> socket.socket:
        """Open a connection."""
        sock = socket.create_connection(("127.0.0.1", self._port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def open_loop(self, rate: float, count: int, rng: random.Random) -> LoopResult:
        """Send `count` requests at random times, whether answers come or not.

        Latencies count from the time at which a request was due, so that a stall
        is seen by all requests that were due within it.

        Parameters
        ----------
        rate : float
            Mean requests a second.
        count : int
            Requests.
        rng : random.Random
            Draws the times between requests.
        """
        histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        jobs = Pool()
        due = self._clock.now()
        for _ in range(count):
            due += rng.expovariate(rate)
            self._clock.sleep(max(due - self._clock.now(), 0.0))
            jobs.spawn(self._timed_call, due, histogram)
        jobs.join()
        return LoopResult(histogram, count - histogram.get_total_count())

    def closed_loop(self, callers: int, count: int) -> None:
        """Send `count` requests, `callers` at a time, as fast as they are answered."""
        each = count // callers
        jobs = [gevent.spawn(self._repeat, each) for _ in range(callers)]
        gevent.joinall(jobs, raise_error=True)

    def close(self) -> None:
        """Close all connections."""
        while self._free:
            self._free.pop().close()

    def _timed_call(self, due: float, histogram: HdrHistogram) -> None:
        try:
            self.call()
        except (FailedCallError, OSError):
            # The request is missing from the histogram and so counts as failed.
            return
        taken_us = (self._clock.now() - due) * MICROSECONDS
        histogram.record_value(max(int(taken_us), LOWEST_US))

    def _repeat(self, count: int) -> None:
        for _ in range(count):
            self.call()


def read_answer(sock: socket.socket) -> None:
    """Read one answer whole; raises unless its status is 200."""
    data = b""
    while _HEAD_END not in data:
        data += _receive(sock)
    head, _, body = data.partition(_HEAD_END)
    if not head.startswith(b"HTTP/1.1 200 "):
        raise FailedCallError(head[:80].decode("latin-1"))
    length = int(head.lower().partition(_LENGTH)[2].split(b"\r\n")[0])
    left = length - len(body)
    while left > 0:
        left -= len(_receive(sock))


def _receive(sock: socket.socket) -> bytes:
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("the server closed the connection")
    return data
