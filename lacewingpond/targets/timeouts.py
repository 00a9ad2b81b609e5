"""Distinguishes timeouts due to a faulty target from those on silent connections."""


class TimeoutEpisode:
    """Consecutive timeouts of one target without a long gap between them.

    Connections that went silent were opened before the first timeout, and new ones
    get responses. With a faulty target, requests on new connections time out too.

    Parameters
    ----------
    length_s : float
        Time without timeouts that ends an episode, in seconds.
    """

    __slots__ = ("_length_s", "_started_at", "_last_at", "_hit_new_connection")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._started_at = float("-inf")
        self._last_at = float("-inf")
        self._hit_new_connection = False

    def record_timeout(self, opened_at: float, now: float) -> None:
        """Record a timeout at `now` on a connection that was opened at `opened_at`."""
        if now - self._last_at > self._length_s:
            self._started_at = now
            self._hit_new_connection = False
        self._last_at = now
        if opened_at > self._started_at:
            self._hit_new_connection = True

    def indicates_target_fault(self, now: float) -> bool:
        """Return whether a new connection timed out in the current episode."""
        return self._hit_new_connection and now - self._last_at <= self._length_s
