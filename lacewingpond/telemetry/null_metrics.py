"""Metrics that are not recorded."""


class NullMetrics:
    """Drops all measurements."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Drop the count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop the value."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop the duration."""
