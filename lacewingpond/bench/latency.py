"""Time that the two sides of the proxy add to a request, beside a direct call."""

import gc
import random
import time
from collections.abc import Callable
from pathlib import Path
from resource import getpagesize

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lacewingpond.bench.caller import BenchCaller
from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Target
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.refusal import RunState, refusal_response
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.http.server import CallerServer
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.request import TargetRequest
from lacewingpond.telemetry.decisions import NullDecisionLog
from lacewingpond.util.clock import RuntimeClock

RATES_PER_S = (125, 250, 500, 750, 1_000)
REQUESTS_PER_RATE = 2_000
ANSWER_BYTES = 1_024
DEADLINE_S = 10.0
TARGET_CONNECTIONS = 64
CLOSED_LOOP_CALLERS = (1, 4, 16, 32)
CLOSED_LOOP_REQUESTS = 3_200
HELD_CONNECTIONS = (250, 500, 1_000, 2_000)
WARM_UP_REQUESTS = 200
MILLISECONDS_PER_US = 1e-3
MICROSECONDS = 1e6
REQUEST = b"GET /plans/7 HTTP/1.1\r\nHost: bench\r\nX-Api-Key: key\r\n\r\n"


class _Servers(Struct):
    """A target and a proxy before it, both in this process."""

    target: CallerServer
    proxy: CallerServer
    client: TargetClient

    @classmethod
    def start(cls, rng: random.Random) -> "_Servers":
        """Start both on loopback."""
        clock, log = RuntimeClock(), NullDecisionLog()
        target = CallerServer.from_options(HttpOptions(), _answer, log, clock)
        target.start()
        options = TargetOptions(connections_per_target=TARGET_CONNECTIONS)
        client = TargetClient.from_options(options, clock, rng, log)
        handler = _forward(client, Target("t", f"127.0.0.1:{target.port}"), clock)
        proxy = CallerServer.from_options(HttpOptions(), handler, log, clock)
        proxy.start()
        return cls(target, proxy, client)

    def stop(self) -> None:
        """Stop both."""
        self.proxy.stop()
        self.client.close()
        self.target.stop()


class LatencyBench:
    """Compares calls through the proxy with direct calls to the same target.

    The callers, the proxy and the target share one process and so one core, which
    makes the added time an upper bound.
    """

    name = "latency"
    summary = "time added to a request, requests/s per core, memory per connection"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with arrival times drawn from `seed`."""
        rng = random.Random(seed)
        servers = _Servers.start(rng)
        try:
            return (
                *_latency_series(servers, rng),
                _processor_series(servers),
                _memory_series(servers),
            )
        finally:
            servers.stop()


def _latency_series(servers: _Servers, rng: random.Random) -> tuple[Series, ...]:
    clock = RuntimeClock()
    direct = BenchCaller(servers.target.port, REQUEST, clock)
    through = BenchCaller(servers.proxy.port, REQUEST, clock)
    for caller in (direct, through):
        caller.closed_loop(4, WARM_UP_REQUESTS)
    plain, proxied = [], []
    for rate in RATES_PER_S:
        plain.append(direct.open_loop(rate, REQUESTS_PER_RATE, rng))
        proxied.append(through.open_loop(rate, REQUESTS_PER_RATE, rng))
    direct.close()
    through.close()
    return tuple(
        _percentile_series(percent, variant, histograms)
        for percent in (50.0, 99.0)
        for variant, histograms in (("direct", plain), ("current", proxied))
    )


def _percentile_series(
    percent: float, variant: str, histograms: list[HdrHistogram]
) -> Series:
    points = tuple(
        Point(rate, histogram.get_value_at_percentile(percent) * MILLISECONDS_PER_US)
        for rate, histogram in zip(RATES_PER_S, histograms, strict=True)
    )
    return Series(f"latency p{percent:g}", variant, "requests/s", "ms", points)


def _processor_series(servers: _Servers) -> Series:
    points = []
    for callers in CLOSED_LOOP_CALLERS:
        direct = _processor_us(servers.target.port, callers)
        through = _processor_us(servers.proxy.port, callers)
        points.append(Point(callers, through - direct))
    return Series(
        "processor time of the proxy", "current", "callers", "us/request", tuple(points)
    )


def _processor_us(port: int, callers: int) -> float:
    caller = BenchCaller(port, REQUEST, RuntimeClock())
    caller.closed_loop(callers, WARM_UP_REQUESTS)
    started = time.process_time()
    caller.closed_loop(callers, CLOSED_LOOP_REQUESTS)
    taken = time.process_time() - started
    caller.close()
    return taken / CLOSED_LOOP_REQUESTS * MICROSECONDS


def _memory_series(servers: _Servers) -> Series:
    caller = BenchCaller(servers.proxy.port, REQUEST, RuntimeClock())
    held, points = [], []
    gc.collect()
    before = _resident_bytes()
    for count in HELD_CONNECTIONS:
        while len(held) < count:
            held.append(caller.connect())
            # One request on it makes all that a held connection keeps.
            _call_on(held[-1])
        gc.collect()
        points.append(Point(count, _resident_bytes() - before))
    for sock in held:
        sock.close()
    return Series(
        "memory of held connections", "current", "connections", "bytes", tuple(points)
    )


def _call_on(sock) -> None:
    sock.sendall(REQUEST)
    received = 0
    while received < ANSWER_BYTES:
        received += len(sock.recv(65_536))


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * getpagesize()


def _answer(req: Request) -> Response:
    del req
    return Response(200, body=b"x" * ANSWER_BYTES)


def _forward(
    client: TargetClient, target: Target, clock: RuntimeClock
) -> Callable[[Request], Response]:
    def handler(req: Request) -> Response:
        sent = TargetRequest.from_request(req, idempotent=True)
        result = client.send(target, sent, clock.now() + DEADLINE_S)
        if result.is_err():
            error = result.err()
            return refusal_response(
                502, RunState.UNKNOWN, error.reason.value, error.detail
            )
        answer = result.ok()
        return Response(answer.status, answer.headers, answer, answer.reason)

    return handler
