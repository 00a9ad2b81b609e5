"""Tells a target that lets requests time out from connections gone silent."""


class TimeoutEpisode:
    """Timeouts of one target that follow one another closely.

    Connections that went silent are old when the first timeout shows it, and new ones
    answer. A target that fails lets requests on new connections time out as well.

    Parameters
    ----------
    length_s : float
        Time without timeouts that ends an episode, in seconds.
    """

    __slots__ = ("_length_s", "_started_at", "_last_at", "_on_new")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._started_at = float("-inf")
        self._last_at = float("-inf")
        self._on_new = False

    def note(self, opened_at: float, now: float) -> None:
        """Count a timeout on a connection that was opened at `opened_at`."""
        if now - self._last_at > self._length_s:
            self._started_at = now
            self._on_new = False
        self._last_at = now
        if opened_at > self._started_at:
            self._on_new = True

    def blames_target(self, now: float) -> bool:
        """Return whether new connections were hit too in the current episode."""
        return self._on_new and now - self._last_at <= self._length_s
