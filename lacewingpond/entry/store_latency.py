"""How long calls to the store take, beyond the time for which they are to wait."""

OVERDUE_S = 0.25  # a store that is up takes less


class StoreLatency:
    """Latency of the store, as far as the calls of this VM bound it."""

    __slots__ = ("_latency_s",)

    def __init__(self) -> None:
        self._latency_s = 0.0

    def due_s(self, wait_s: float) -> float:
        """Return after how many seconds a call is overdue that is to wait `wait_s`.

        A slow store gets more time, so that it is not called more often for that.
        """
        return wait_s + max(OVERDUE_S, self._latency_s * 2.0)

    def observe(self, took_s: float, wait_s: float) -> None:
        """Record a call that took `took_s` and was to wait for `wait_s` at most.

        Events end the wait early, so that the latency is known only within bounds.
        """
        self._latency_s = min(max(self._latency_s, took_s - wait_s), took_s)
