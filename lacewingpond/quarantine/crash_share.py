"""Share of a service's runs that end with a crash of the target."""

import math

from lacewingpond.quarantine.options import QuarantineOptions


class CrashShare:
    """Share of one service's runs, over all its requests, that end with a crash.

    The counts of runs and of crashed runs decay exponentially.

    Parameters
    ----------
    options : QuarantineOptions
        Time constant and bounds of the share.
    now : float
        Current time, in monotonic seconds.
    """

    __slots__ = ("_options", "_runs", "_crashed", "_updated_at")

    def __init__(self, options: QuarantineOptions, now: float) -> None:
        self._options = options
        self._runs = 0.0
        self._crashed = 0.0
        self._updated_at = now

    def record_run(self, crashed: bool, now: float) -> None:
        """Count one run that ended at `now`."""
        decay = math.exp(-(now - self._updated_at) / self._options.share_window_s)
        self._updated_at = now
        self._runs = self._runs * decay + 1.0
        self._crashed = self._crashed * decay + float(crashed)

    def value(self) -> float:
        """Return the share of crashed runs, from `min_crash_share` to 1."""
        share = self._crashed / (self._runs + self._options.prior_runs)
        return max(share, self._options.min_crash_share)
