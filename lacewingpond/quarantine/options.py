"""Options of the quarantine."""

from msgspec import Struct


class QuarantineOptions(Struct, frozen=True):
    """Settings of `QuarantineService`; equal on all VMs.

    Parameters
    ----------
    quarantine_s : float
        Time for which a request is refused, in seconds.
    suspect_s : float
        Time for which a coincidence is remembered, in seconds.
    same_crash_s : float
        Reports about one target within this time are about one crash, in seconds.
    max_chance : float
        Largest chance of an innocent request's coincidences that convicts.
    min_crash_share : float
        Least share of crashed runs that is assumed of a service.
    share_window_s : float
        Time constant of the measured share of crashed runs, in seconds.
    prior_runs : float
        Runs without a crash that are assumed before any was seen.
    max_suspects, max_quarantined : int
        Bounds of the tables.
    """

    quarantine_s: float = 600.0
    suspect_s: float = 600.0
    same_crash_s: float = 5.0
    max_chance: float = 1e-4
    min_crash_share: float = 0.01
    share_window_s: float = 60.0
    prior_runs: float = 100.0
    max_suspects: int = 4096
    max_quarantined: int = 4096
