"""Time that the proxy adds to a request, beside a direct call to the same target."""

import gc
import random
import statistics
import time
from pathlib import Path
from resource import getpagesize

from msgspec import Struct

from lacewingpond.bench.caller import BenchCaller, LoopResult, read_answer
from lacewingpond.bench.latency_servers import REQUEST, LatencyServers
from lacewingpond.bench.series import Point, Series
from lacewingpond.util.clock import RuntimeClock

RATES_PER_S = (125, 250, 500, 750, 1_000, 1_250, 1_500)
ROUNDS = 5
REQUESTS_PER_ROUND = 400
CLOSED_LOOP_CALLERS = (1, 4, 16, 32)
CLOSED_LOOP_REQUESTS = 3_200
HELD_CONNECTIONS = (250, 500, 1_000, 2_000)
WARM_UP_REQUESTS = 200
MICROSECONDS = 1e6
SIDES = "sides only"
DAEMON = "current"


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
        servers = LatencyServers(rng)
        try:
            # Memory comes first, while nothing freed by other work is there to use.
            memory = _memory_series(servers.sides.port)
            return (
                *_latency_series(servers, rng),
                *_processor_series(servers),
                memory,
            )
        finally:
            servers.stop()


class _Rounds(Struct, frozen=True):
    """Rounds at one rate, each direct, through the bare sides and the daemon."""

    direct: tuple[LoopResult, ...]
    sides: tuple[LoopResult, ...]
    daemon: tuple[LoopResult, ...]

    @property
    def failed(self) -> int:
        """Requests without an answer, in all rounds."""
        results = (*self.direct, *self.sides, *self.daemon)
        return sum(result.failed for result in results)

    def direct_ms(self, percent: float) -> float:
        """Return the median round's latency of direct calls."""
        return statistics.median(r.percentile_ms(percent) for r in self.direct)

    def added_ms(self, percent: float, proxied: tuple[LoopResult, ...]) -> float:
        """Return the median round's difference."""
        return statistics.median(
            through.percentile_ms(percent) - direct.percentile_ms(percent)
            for direct, through in zip(self.direct, proxied, strict=True)
        )


def _latency_series(servers: LatencyServers, rng: random.Random) -> tuple[Series, ...]:
    clock = RuntimeClock()
    ports = (servers.target.port, servers.sides.port, servers.daemon_port)
    callers = [BenchCaller(port, REQUEST, clock) for port in ports]
    for caller in callers:
        caller.closed_loop(4, WARM_UP_REQUESTS)
    rates = [_measure(callers, rate, rng) for rate in RATES_PER_S]
    for caller in callers:
        caller.close()
    series = [_rate_series("failed", "all", [r.failed for r in rates], "requests")]
    for percent in (50.0, 99.0):
        name = f"p{percent:g}"
        direct = [r.direct_ms(percent) for r in rates]
        sides = [r.added_ms(percent, r.sides) for r in rates]
        daemon = [r.added_ms(percent, r.daemon) for r in rates]
        series.append(_rate_series(f"latency {name}", "direct", direct))
        series.append(_rate_series(f"added {name}", SIDES, sides))
        series.append(_rate_series(f"added {name}", DAEMON, daemon))
    return tuple(series)


def _measure(callers: list[BenchCaller], rate: float, rng: random.Random) -> _Rounds:
    """Run rounds one after the other, so that all three see the same machine."""
    results = [
        tuple(caller.open_loop(rate, REQUESTS_PER_ROUND, rng) for caller in callers)
        for _ in range(ROUNDS)
    ]
    direct, sides, daemon = zip(*results, strict=True)
    return _Rounds(direct, sides, daemon)


def _rate_series(
    name: str, variant: str, values: list[float], unit: str = "ms"
) -> Series:
    points = zip(RATES_PER_S, values, strict=True)
    return Series(name, variant, "requests/s", unit, tuple(Point(*p) for p in points))


def _processor_series(servers: LatencyServers) -> tuple[Series, ...]:
    sides, daemon = [], []
    for callers in CLOSED_LOOP_CALLERS:
        direct_us = _processor_us(servers.target.port, callers)
        sides_us = _processor_us(servers.sides.port, callers) - direct_us
        daemon_us = _processor_us(servers.daemon_port, callers) - direct_us
        sides.append(Point(callers, sides_us))
        daemon.append(Point(callers, daemon_us))
    name, units = "processor time", ("callers", "us/request")
    return (
        Series(name, SIDES, *units, tuple(sides)),
        Series(name, DAEMON, *units, tuple(daemon)),
    )


def _processor_us(port: int, callers: int) -> float:
    caller = BenchCaller(port, REQUEST, RuntimeClock())
    caller.closed_loop(callers, WARM_UP_REQUESTS)
    started = time.process_time()
    caller.closed_loop(callers, CLOSED_LOOP_REQUESTS)
    taken = time.process_time() - started
    caller.close()
    return taken / CLOSED_LOOP_REQUESTS * MICROSECONDS


def _memory_series(port: int) -> Series:
    caller = BenchCaller(port, REQUEST, RuntimeClock())
    caller.closed_loop(4, WARM_UP_REQUESTS)
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
    caller.close()
    units = ("connections", "bytes")
    return Series("memory of held connections", DAEMON, *units, tuple(points))


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * getpagesize()
