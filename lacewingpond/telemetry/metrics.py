"""Interface of metrics."""

from typing import Protocol


class Metrics(Protocol):
    """Records counters, gauges and timings without blocking."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to the counter `name`."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        ...
