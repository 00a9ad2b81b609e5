"""Options of the quarantine."""

from msgspec import Struct


class QuarantineOptions(Struct, frozen=True):
    """Quarantine of requests that crash targets; must be equal on all VMs.

    Parameters
    ----------
    quarantine_s : float
        Time for which a request is refused, in seconds.
    suspect_s : float
        Time after a request's last crash report at which its earlier ones expire, in
        seconds.
    same_crash_s : float
        Time within which reports about one target are taken for one crash, in
        seconds.
    max_chance : float
        Probability up to which a request is quarantined: that of a harmless request
        running during as many crashes.
    min_crash_share : float
        Smallest share of crashed runs that is assumed of a service.
    share_window_s : float
        Time constant of the measured share of crashed runs, in seconds.
    prior_runs : float
        Number of runs without a crash that are assumed at the start.
    max_suspects, max_quarantined : int
        Largest number of suspected requests and services, and of quarantined
        requests, that a VM stores.
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
