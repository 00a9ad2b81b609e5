"""Counts of messages and bytes by message class."""

from lacewingpond.telemetry.metrics import Metrics


class MessageCount:
    """Messages and bytes of one class, in both directions."""

    __slots__ = ("sent", "sent_bytes", "received", "received_bytes")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0


class MessageCounts:
    """Messages and bytes by message class, flushed to the metrics periodically.

    Attributes
    ----------
    by_kind : dict of str to MessageCount
        Totals since the start, by name of the message class.
    """

    __slots__ = ("by_kind", "_unflushed")

    def __init__(self) -> None:
        self.by_kind: dict[str, MessageCount] = {}
        self._unflushed: dict[str, int] = {}

    def sent(self, kind: str, size: int) -> None:
        """Count a sent message of `size` bytes."""
        count = self._count_of(kind)
        count.sent += 1
        count.sent_bytes += size
        self._add(f"peers.sent.{kind}", 1)
        self._add(f"peers.sent_bytes.{kind}", size)

    def received(self, kind: str, size: int) -> None:
        """Count a received message of `size` bytes."""
        count = self._count_of(kind)
        count.received += 1
        count.received_bytes += size
        self._add(f"peers.received.{kind}", 1)
        self._add(f"peers.received_bytes.{kind}", size)

    def flush(self, metrics: Metrics) -> None:
        """Add the counts since the last flush to `metrics`."""
        unflushed, self._unflushed = self._unflushed, {}
        for name, count in unflushed.items():
            metrics.incr(name, count)

    def _count_of(self, kind: str) -> MessageCount:
        count = self.by_kind.get(kind)
        if count is None:
            count = self.by_kind[kind] = MessageCount()
        return count

    def _add(self, name: str, count: int) -> None:
        self._unflushed[name] = self._unflushed.get(name, 0) + count
