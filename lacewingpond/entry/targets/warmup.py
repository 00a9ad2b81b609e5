"""Until when a target is cold."""

import math

CHECK_LIFETIME_S = 2.5  # two intervals of the health checks, so that one may fail


class Warmup:
    """The time up to which one incarnation of a target is cold.

    It is cold until its entry or a health response says that it is warm. After an
    evacuation it is also assumed to be cold for a time, unless a recent health response
    says otherwise.

    Parameters
    ----------
    until : float
        End of the warm-up that its entry states, in monotonic seconds.
    """

    __slots__ = ("_stated_until", "_assumed_until", "_checked_warm_at")

    def __init__(self, until: float) -> None:
        self._stated_until = until
        self._assumed_until = -math.inf
        self._checked_warm_at = -math.inf

    def left_s(self, now: float) -> float:
        """Return for how many seconds the target stays cold; 0 if it is warm."""
        until = self._stated_until
        if not self._is_checked_warm(now):
            until = max(until, self._assumed_until)
        return max(until - now, 0.0)

    def extend(self, until: float) -> None:
        """Count the target as cold until `until`, in monotonic seconds, if later."""
        self._stated_until = max(self._stated_until, until)

    def assume(self, until: float) -> None:
        """Assume that the target is cold until `until`, in monotonic seconds."""
        self._assumed_until = max(self._assumed_until, until)
        # It may have restarted since it was checked.
        self._checked_warm_at = -math.inf

    def is_assumed(self, now: float) -> bool:
        """Return whether the target is assumed to be cold, or was until a check."""
        return now < self._assumed_until

    def record_check(self, left_s: float, now: float) -> None:
        """Record for how many more seconds a health response says that it is cold."""
        if left_s > 0.0:
            self.extend(now + left_s)
            self._checked_warm_at = -math.inf
        else:
            self._checked_warm_at = now

    def is_shown_warm(self, now: float) -> bool:
        """Return whether a recent health response says that the target is warm."""
        return self._is_checked_warm(now) and now >= self._stated_until

    def _is_checked_warm(self, now: float) -> bool:
        return now - self._checked_warm_at <= CHECK_LIFETIME_S
