"""Costs of log lines and metrics."""

import os
import random

import gevent
import gevent.os
from gevent import socket

from lacewingpond.bench.series import Point, Series
from lacewingpond.telemetry.eliot_decisions import EliotDecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.telemetry.null_metrics import NullMetrics
from lacewingpond.telemetry.sink import LogSink
from lacewingpond.telemetry.statsd_metrics import StatsdMetrics
from lacewingpond.util.resource_usage import cpu_seconds

COUNTS = (1_000, 2_000, 4_000, 8_000)
US_PER_S = 1e6
LOOPBACK = "127.0.0.1"


class TelemetryBench:
    """Benchmark ``telemetry``: costs of log lines and of metrics.

    Lines are written to the null device or a pipe, metrics to a socket on loopback.
    """

    name = "telemetry"
    summary = "processor time and bytes of log lines, processor time of metrics"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the sampling of log lines."""
        return (
            _log_series("current", 1.0, seed),
            _log_series("sampled 1%", 0.01, seed),
            _bytes_series(seed),
            _metric_series(),
        )


def _log_series(variant: str, sample: float, seed: int) -> Series:
    fd = os.open(os.devnull, os.O_WRONLY)
    sink = LogSink(fd, NullMetrics())
    sink.start()
    log = EliotDecisionLog("vm-1", sample, rng=random.Random(seed))
    points = [
        Point(count, cpu_seconds(lambda n=count: _write_lines(log, n)) * US_PER_S)
        for count in COUNTS
    ]
    sink.stop()
    os.close(fd)
    return Series("log lines", variant, "lines", "us", tuple(points))


def _bytes_series(seed: int) -> Series:
    points = []
    for count in COUNTS:
        read_fd, write_fd = os.pipe()
        reader = gevent.spawn(_count_bytes, read_fd)
        sink = LogSink(write_fd, NullMetrics())
        sink.start()
        _write_lines(EliotDecisionLog("vm-1", rng=random.Random(seed)), count)
        sink.stop()
        os.close(write_fd)
        points.append(Point(count, reader.get()))
    return Series("log bytes", "current", "lines", "bytes", tuple(points))


def _metric_series() -> Series:
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind((LOOPBACK, 0))
    metrics = StatsdMetrics(LOOPBACK, receiver.getsockname()[1])
    points = [
        Point(count, cpu_seconds(lambda n=count: _count_metrics(metrics, n)) * US_PER_S)
        for count in COUNTS
    ]
    receiver.close()
    return Series("metrics", "current", "metrics", "us", tuple(points))


def _write_lines(log: EliotDecisionLog, count: int) -> None:
    for number in range(count):
        log.decision(
            "place",
            "ledger-7",
            "less loaded of two",
            service="ledger",
            in_flight=number % 6,
        )
        if number % 100 == 0:
            gevent.sleep(0)


def _count_metrics(metrics: Metrics, count: int) -> None:
    for _ in range(count):
        metrics.incr("limits.admitted")


def _count_bytes(fd: int) -> int:
    total = 0
    while data := gevent.os.tp_read(fd, 65_536):
        total += len(data)
    os.close(fd)
    return total
