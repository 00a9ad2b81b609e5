"""Counts messages and bytes by the class of the message."""

from lacewingpond.telemetry.metrics import Metrics


class Tally:
    """Messages and bytes in both directions."""

    __slots__ = ("sent", "sent_bytes", "received", "received_bytes")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0


class Traffic:
    """Tallies by message class, passed on to the metrics from time to time."""

    __slots__ = ("by_kind", "_unflushed")

    def __init__(self) -> None:
        self.by_kind: dict[str, Tally] = {}
        self._unflushed: dict[str, int] = {}

    def sent(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes that leaves."""
        tally = self._tally(kind)
        tally.sent += 1
        tally.sent_bytes += size
        self._add(f"peers.sent.{kind}", 1)
        self._add(f"peers.sent_bytes.{kind}", size)

    def received(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes that arrived."""
        tally = self._tally(kind)
        tally.received += 1
        tally.received_bytes += size
        self._add(f"peers.received.{kind}", 1)
        self._add(f"peers.received_bytes.{kind}", size)

    def flush(self, metrics: Metrics) -> None:
        """Send what was counted since the last flush."""
        unflushed, self._unflushed = self._unflushed, {}
        for name, count in unflushed.items():
            metrics.incr(name, count)

    def _tally(self, kind: str) -> Tally:
        tally = self.by_kind.get(kind)
        if tally is None:
            tally = self.by_kind[kind] = Tally()
        return tally

    def _add(self, name: str, count: int) -> None:
        self._unflushed[name] = self._unflushed.get(name, 0) + count
