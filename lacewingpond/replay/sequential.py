"""Weighs sequential tests on one stream of outcomes: delay and false alarms.

Run as ``python -m lacewingpond.replay.sequential``.
"""

import random
import statistics
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from lacewingpond.health.cusum import log_likelihood

HEALTHY_RATE = 0.03
ASSUMED_RATE = 0.03
EXCESS = 0.3
BURST_RATE = 0.15
BURST_EVERY = 500
BURST_LENGTH = 20
QUIET_REQUESTS = 1_000_000
RUNS = 500
SICK_RATE = 0.5
MAX_DELAY = 10_000


class StreamTest(Protocol):
    """Looks at one outcome after the other."""

    def add(self, bad: bool) -> bool:
        """Take an outcome and return whether the target now seems unhealthy."""
        ...


class Cusum:
    """Evidence that never sinks below 0."""

    __slots__ = ("_threshold", "_level")

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._level = 0.0

    def add(self, bad: bool) -> bool:
        """Take an outcome."""
        rise = log_likelihood(int(bad), 1, ASSUMED_RATE, EXCESS)
        self._level = max(self._level + rise, 0.0)
        if self._level < self._threshold:
            return False
        self._level = 0.0
        return True


class RepeatedSprt:
    """Wald's test, begun again whenever it has decided."""

    __slots__ = ("_threshold", "_level")

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._level = 0.0

    def add(self, bad: bool) -> bool:
        """Take an outcome."""
        self._level += log_likelihood(int(bad), 1, ASSUMED_RATE, EXCESS)
        if self._level <= -self._threshold:
            self._level = 0.0
        if self._level < self._threshold:
            return False
        self._level = 0.0
        return True


class ErrorsInARow:
    """A number of consecutive errors."""

    __slots__ = ("_limit", "_row")

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._row = 0

    def add(self, bad: bool) -> bool:
        """Take an outcome."""
        self._row = self._row + 1 if bad else 0
        if self._row < self._limit:
            return False
        self._row = 0
        return True


class Row(Struct, frozen=True):
    """Result of one test.

    Parameters
    ----------
    test : str
        Name and threshold.
    mean_delay, p95_delay : float
        Requests from the start of the fault to the alarm.
    false_alarms : int
        Alarms within `QUIET_REQUESTS` requests of a healthy target.
    """

    test: str
    mean_delay: float
    p95_delay: float
    false_alarms: int


TESTS: tuple[tuple[str, Callable[[float], StreamTest], tuple[float, ...]], ...] = (
    ("cusum", Cusum, (6.0, 8.0, 10.0, 12.0)),
    ("repeated sprt", RepeatedSprt, (6.0, 8.0, 10.0, 12.0)),
    ("errors in a row", ErrorsInARow, (2.0, 3.0, 4.0, 5.0)),
)


def weigh(seed: int) -> tuple[Row, ...]:
    """Run all tests on the same kinds of streams, drawn from `seed`."""
    return tuple(
        _row(f"{name} {threshold:g}", lambda: build(threshold), seed)  # noqa: B023
        for name, build, thresholds in TESTS
        for threshold in thresholds
    )


def _row(name: str, build: Callable[[], StreamTest], seed: int) -> Row:
    rng = random.Random(seed)
    test = build()
    false_alarms = sum(
        test.add(rng.random() < _healthy_rate(number))
        for number in range(QUIET_REQUESTS)
    )
    delays = sorted(_delay(build(), rng) for _ in range(RUNS))
    p95 = delays[int(0.95 * RUNS)]
    return Row(name, statistics.mean(delays), p95, false_alarms)


def _healthy_rate(number: int) -> float:
    if number % BURST_EVERY < BURST_LENGTH:
        return BURST_RATE
    return HEALTHY_RATE


def _delay(test: StreamTest, rng: random.Random) -> int:
    for number in range(BURST_LENGTH, BURST_EVERY):
        test.add(rng.random() < _healthy_rate(number))
    for number in range(1, MAX_DELAY):
        if test.add(rng.random() < SICK_RATE):
            return number
    return MAX_DELAY


def main() -> None:
    """Print the table of seed 1."""
    print(f"{'test':20} {'mean delay':>10} {'p95':>6} {'false alarms':>12}")
    for row in weigh(seed=1):
        print(
            f"{row.test:20} {row.mean_delay:10.1f} {row.p95_delay:6.0f} "
            f"{row.false_alarms:12d}"
        )


if __name__ == "__main__":
    main()
