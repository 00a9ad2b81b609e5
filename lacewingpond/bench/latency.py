"""Time that the two sides of the proxy add to a request, beside a direct call."""

import gc
import random
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from resource import getpagesize

from msgspec import Struct

from lacewingpond.bench.caller import BenchCaller, LoopResult, read_answer
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
ROUNDS = 7
REQUESTS_PER_ROUND = 400
ANSWER_BYTES = 1_024
DEADLINE_S = 10.0
TARGET_CONNECTIONS = 512
CLOSED_LOOP_CALLERS = (1, 4, 16, 32)
CLOSED_LOOP_REQUESTS = 3_200
HELD_CONNECTIONS = (250, 500, 1_000, 2_000)
WARM_UP_REQUESTS = 200
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
    pairs = [_Pairs.measure(direct, through, rate, rng) for rate in RATES_PER_S]
    direct.close()
    through.close()
    return (
        _rate_series("latency p50", "direct", [p.direct_ms(50.0) for p in pairs]),
        _rate_series("latency p99", "direct", [p.direct_ms(99.0) for p in pairs]),
        _rate_series("added p50", "current", [p.added_ms(50.0) for p in pairs]),
        _rate_series("added p99", "current", [p.added_ms(99.0) for p in pairs]),
        _rate_series("failed", "current", [p.failed for p in pairs], "requests"),
    )


class _Pairs(Struct, frozen=True):
    """Rounds at one rate, each direct and then through the proxy."""

    direct: tuple[LoopResult, ...]
    through: tuple[LoopResult, ...]

    @classmethod
    def measure(
        cls, direct: BenchCaller, through: BenchCaller, rate: float, rng: random.Random
    ) -> "_Pairs":
        """Run the rounds one after the other."""
        plain, proxied = [], []
        for _ in range(ROUNDS):
            plain.append(direct.open_loop(rate, REQUESTS_PER_ROUND, rng))
            proxied.append(through.open_loop(rate, REQUESTS_PER_ROUND, rng))
        return cls(tuple(plain), tuple(proxied))

    @property
    def failed(self) -> int:
        """Requests without an answer, in all rounds."""
        return sum(result.failed for result in (*self.direct, *self.through))

    def direct_ms(self, percent: float) -> float:
        """Return the median round's latency of direct calls."""
        return statistics.median(r.percentile_ms(percent) for r in self.direct)

    def added_ms(self, percent: float) -> float:
        """Return the median round's difference."""
        return statistics.median(
            through.percentile_ms(percent) - direct.percentile_ms(percent)
            for direct, through in zip(self.direct, self.through, strict=True)
        )


def _rate_series(
    name: str, variant: str, values: list[float], unit: str = "ms"
) -> Series:
    points = zip(RATES_PER_S, values, strict=True)
    return Series(name, variant, "requests/s", unit, tuple(Point(*p) for p in points))


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
            held[-1].sendall(REQUEST)
            read_answer(held[-1])
        gc.collect()
        points.append(Point(count, _resident_bytes() - before))
    for sock in held:
        sock.close()
    return Series(
        "memory of held connections", "current", "connections", "bytes", tuple(points)
    )


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
