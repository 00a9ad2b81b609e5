"""Counters, gauges and timings, sent by statsd."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Takes measurements without waiting."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to the counter `name`."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        ...


class NullMetrics:
    """Drops every measurement."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Drop the count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop the value."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop the duration."""


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


class StatsdMetrics:
    """Sends measurements as UDP datagrams, which are lost when nobody listens.

    Parameters
    ----------
    host, port : str, int
        Address of the statsd server, by IP number.
    prefix : str
        Put before each name.
    """

    __slots__ = ("_client",)

    def __init__(self, host: str, port: int, prefix: str = "lacewingpond") -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to the counter `name`."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        self._client.timing(name, seconds * 1000.0)
