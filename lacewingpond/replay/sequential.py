"""Compares sequential tests on streams of outcomes by delay and false alarms.

Run as ``python -m lacewingpond.replay.sequential``.
"""

import random
import statistics
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from lacewingpond.health.cusum import log_likelihood_ratio

HEALTHY_RATE = 0.03
ASSUMED_RATE = 0.03
FAULT_EXCESS_RATE = 0.3
BURST_RATE = 0.15
BURST_INTERVAL_REQUESTS = 500
BURST_LENGTH_REQUESTS = 20
HEALTHY_REQUESTS = 1_000_000
RUNS = 500
FAULTY_RATE = 0.5
MAX_DELAY_REQUESTS = 10_000


class SequentialTest(Protocol):
    """Test that observes outcomes one after the other."""

    def add(self, failed: bool) -> bool:
        """Add an outcome and return whether the test raises an alarm."""
        ...


class Cusum:
    """Cumulative sum test: log likelihood ratios summed up, but never below 0."""

    __slots__ = ("_threshold", "_evidence")

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._evidence = 0.0

    def add(self, failed: bool) -> bool:
        """Add an outcome and return whether the test raises an alarm."""
        step = log_likelihood_ratio(int(failed), 1, ASSUMED_RATE, FAULT_EXCESS_RATE)
        self._evidence = max(self._evidence + step, 0.0)
        if self._evidence < self._threshold:
            return False
        self._evidence = 0.0
        return True


class RepeatedSprt:
    """Wald's sequential probability ratio test, restarted after each decision."""

    __slots__ = ("_threshold", "_evidence")

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._evidence = 0.0

    def add(self, failed: bool) -> bool:
        """Add an outcome and return whether the test raises an alarm."""
        self._evidence += log_likelihood_ratio(
            int(failed), 1, ASSUMED_RATE, FAULT_EXCESS_RATE
        )
        if self._evidence <= -self._threshold:
            self._evidence = 0.0
        if self._evidence < self._threshold:
            return False
        self._evidence = 0.0
        return True


class ErrorsInARow:
    """Raises an alarm after a number of consecutive errors."""

    __slots__ = ("_limit", "_consecutive")

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._consecutive = 0

    def add(self, failed: bool) -> bool:
        """Add an outcome and return whether the test raises an alarm."""
        self._consecutive = self._consecutive + 1 if failed else 0
        if self._consecutive < self._limit:
            return False
        self._consecutive = 0
        return True


class TestResult(Struct, frozen=True):
    """Delay and false alarms of one test.

    Parameters
    ----------
    test : str
        Name and threshold.
    mean_delay, p95_delay : float
        Number of requests from the start of the fault to the alarm.
    false_alarms : int
        Number of alarms within `HEALTHY_REQUESTS` requests of a healthy target.
    """

    test: str
    mean_delay: float
    p95_delay: float
    false_alarms: int


TESTS: tuple[tuple[str, Callable[[float], SequentialTest], tuple[float, ...]], ...] = (
    ("cusum", Cusum, (6.0, 8.0, 10.0, 12.0)),
    ("repeated sprt", RepeatedSprt, (6.0, 8.0, 10.0, 12.0)),
    ("errors in a row", ErrorsInARow, (2.0, 3.0, 4.0, 5.0)),
)


def compare(seed: int) -> tuple[TestResult, ...]:
    """Return the results of all tests on streams generated from `seed`."""
    return tuple(
        _run_test(f"{name} {threshold:g}", lambda: build(threshold), seed)  # noqa: B023
        for name, build, thresholds in TESTS
        for threshold in thresholds
    )


def _run_test(name: str, build: Callable[[], SequentialTest], seed: int) -> TestResult:
    rng = random.Random(seed)
    test = build()
    false_alarms = sum(
        test.add(rng.random() < _healthy_rate(number))
        for number in range(HEALTHY_REQUESTS)
    )
    delays = sorted(_delay(build(), rng) for _ in range(RUNS))
    p95 = delays[int(0.95 * RUNS)]
    return TestResult(name, statistics.mean(delays), p95, false_alarms)


def _healthy_rate(number: int) -> float:
    if number % BURST_INTERVAL_REQUESTS < BURST_LENGTH_REQUESTS:
        return BURST_RATE
    return HEALTHY_RATE


def _delay(test: SequentialTest, rng: random.Random) -> int:
    for number in range(BURST_LENGTH_REQUESTS, BURST_INTERVAL_REQUESTS):
        test.add(rng.random() < _healthy_rate(number))
    for number in range(1, MAX_DELAY_REQUESTS):
        if test.add(rng.random() < FAULTY_RATE):
            return number
    return MAX_DELAY_REQUESTS


def main() -> None:
    """Print the results for seed 1."""
    print(f"{'test':20} {'mean delay':>10} {'p95':>6} {'false alarms':>12}")
    for row in compare(seed=1):
        print(
            f"{row.test:20} {row.mean_delay:10.1f} {row.p95_delay:6.0f} "
            f"{row.false_alarms:12d}"
        )


if __name__ == "__main__":
    main()
