"""Metrics kept in memory."""


class CountingMetrics:
    """Keeps counters and gauges in memory, for tests and reports."""

    __slots__ = ("counters", "gauges")

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to the counter `name`."""
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self.gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Ignore the duration."""
