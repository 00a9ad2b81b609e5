"""Pause of one target after it rejected requests as it was busy."""

MIN_PAUSE_S = 0.05  # a tenth of a request: a slot is likely free again by then
MAX_PAUSE_S = 0.8


class RejectionPause:
    """Time in which a target gets no requests, as it has just rejected some.

    The pause doubles with each consecutive rejection by a full target. A target that
    rejects although its known load is below its slots does so at random: its pause
    stays the shortest, as callers lose if its slots are left idle.
    """

    __slots__ = ("_until", "_next_s")

    def __init__(self) -> None:
        self._until = float("-inf")
        self._next_s = MIN_PAUSE_S

    def is_active(self, now: float) -> bool:
        """Return whether the target should get no request now."""
        return now < self._until

    def start(self, now: float, is_full: bool) -> None:
        """Start a pause after a rejection.

        Rejections in a running pause are of requests that were sent before it, and
        change nothing.

        Parameters
        ----------
        now : float
            Time of the rejection, in monotonic seconds.
        is_full : bool
            Whether the known load of the target is at least its slots.
        """
        if self.is_active(now):
            return
        self._until = now + (self._next_s if is_full else MIN_PAUSE_S)
        if is_full:
            self._next_s = min(self._next_s * 2.0, MAX_PAUSE_S)

    def end(self) -> None:
        """End the pause after a success; the next one is the shortest again."""
        self._until = float("-inf")
        self._next_s = MIN_PAUSE_S
