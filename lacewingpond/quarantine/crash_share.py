"""Measures how often the runs of a service end with a crash."""

import math

from lacewingpond.quarantine.options import QuarantineOptions


class CrashShare:
    """Counts runs and crashed runs of one service, forgetting old ones.

    Parameters
    ----------
    options : QuarantineOptions
        Settings.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("_options", "_runs", "_crashed", "_at")

    def __init__(self, options: QuarantineOptions, now: float) -> None:
        self._options = options
        self._runs = 0.0
        self._crashed = 0.0
        self._at = now

    def note(self, crashed: bool, now: float) -> None:
        """Count one run."""
        decay = math.exp(-(now - self._at) / self._options.share_window_s)
        self._at = now
        self._runs = self._runs * decay + 1.0
        self._crashed = self._crashed * decay + float(crashed)

    def value(self) -> float:
        """Return the share, between the least assumed one and 1."""
        share = self._crashed / (self._runs + self._options.prior_runs)
        return max(share, self._options.min_crash_share)
