"""Sends metrics to statsd."""

import statsd


class StatsdMetrics:
    """Sends metrics as UDP datagrams, which are lost when no server listens.

    Parameters
    ----------
    host, port : str, int
        IP address and port of the statsd server.
    prefix : str
        Prefix of all metric names.
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
