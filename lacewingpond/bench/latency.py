"""Latency, processor time and memory that the proxy adds to a direct call."""

import gc
import random
import statistics
import time
from pathlib import Path
from resource import getpagesize

from msgspec import Struct

from lacewingpond.bench.caller import BenchCaller, OpenLoopResult, read_response
from lacewingpond.bench.latency_servers import REQUEST, LatencyServers
from lacewingpond.bench.series import Point, Series
from lacewingpond.util.clock import RuntimeClock

RATES_PER_S = (125, 250, 500, 750, 1_000, 1_250, 1_500)
ROUNDS = 5
REQUESTS_PER_ROUND = 400
CLOSED_LOOP_CALLERS = (1, 4, 16, 32)
CLOSED_LOOP_REQUESTS = 3_200
CONNECTION_COUNTS = (250, 500, 1_000, 2_000)
WARM_UP_REQUESTS = 200
US_PER_S = 1e6
SIDES = "sides only"
DAEMON = "current"


class LatencyBench:
    """Benchmark ``latency``: calls through the proxy compared with direct calls.

    Callers, proxy and target share one process and thus one core, so the added
    latency is an upper bound.
    """

    name = "latency"
    summary = "time added to a request, requests/s per core, memory per connection"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the arrival times."""
        rng = random.Random(seed)
        servers = LatencyServers(rng)
        try:
            # Memory comes first, as later the process could reuse memory that other
            # measurements freed, and would grow too little.
            memory = _memory_series(servers.sides.port)
            return (
                *_latency_series(servers, rng),
                *_cpu_series(servers),
                memory,
            )
        finally:
            servers.stop()


class _Rounds(Struct, frozen=True):
    """Results of all rounds at one rate.

    Parameters
    ----------
    direct, sides, daemon : tuple of OpenLoopResult
        Results of direct calls, of calls through `LatencyServers.sides` and through
        the daemon; one of each per round.
    """

    direct: tuple[OpenLoopResult, ...]
    sides: tuple[OpenLoopResult, ...]
    daemon: tuple[OpenLoopResult, ...]

    @property
    def failed(self) -> int:
        """Number of failed requests in all rounds."""
        results = (*self.direct, *self.sides, *self.daemon)
        return sum(result.failed for result in results)

    def direct_ms(self, percent: float) -> float:
        """Return a percentile of direct latency in ms, the median of all rounds."""
        return statistics.median(r.percentile_ms(percent) for r in self.direct)

    def added_ms(self, percent: float, proxied: tuple[OpenLoopResult, ...]) -> float:
        """Return the difference to direct latency in ms, the median of all rounds."""
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
    rates = [_measure_rounds(callers, rate, rng) for rate in RATES_PER_S]
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


def _measure_rounds(
    callers: list[BenchCaller], rate: float, rng: random.Random
) -> _Rounds:
    """Return the results of all rounds at one rate.

    Each round measures all callers, so that a change of the machine's load affects
    all of them.
    """
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


def _cpu_series(servers: LatencyServers) -> tuple[Series, ...]:
    sides, daemon = [], []
    for callers in CLOSED_LOOP_CALLERS:
        direct_us = _cpu_us(servers.target.port, callers)
        sides_us = _cpu_us(servers.sides.port, callers) - direct_us
        daemon_us = _cpu_us(servers.daemon_port, callers) - direct_us
        sides.append(Point(callers, sides_us))
        daemon.append(Point(callers, daemon_us))
    name, units = "processor time", ("callers", "us/request")
    return (
        Series(name, SIDES, *units, tuple(sides)),
        Series(name, DAEMON, *units, tuple(daemon)),
    )


def _cpu_us(port: int, callers: int) -> float:
    caller = BenchCaller(port, REQUEST, RuntimeClock())
    caller.closed_loop(callers, WARM_UP_REQUESTS)
    started = time.process_time()
    caller.closed_loop(callers, CLOSED_LOOP_REQUESTS)
    cpu_s = time.process_time() - started
    caller.close()
    return cpu_s / CLOSED_LOOP_REQUESTS * US_PER_S


def _memory_series(port: int) -> Series:
    caller = BenchCaller(port, REQUEST, RuntimeClock())
    caller.closed_loop(4, WARM_UP_REQUESTS)
    sockets, points = [], []
    gc.collect()
    before = _resident_bytes()
    for count in CONNECTION_COUNTS:
        while len(sockets) < count:
            sockets.append(caller.connect())
            # The first request allocates all that an idle connection retains.
            sockets[-1].sendall(REQUEST)
            read_response(sockets[-1])
        gc.collect()
        points.append(Point(count, _resident_bytes() - before))
    for sock in sockets:
        sock.close()
    caller.close()
    units = ("connections", "bytes")
    return Series("memory of held connections", DAEMON, *units, tuple(points))


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * getpagesize()
