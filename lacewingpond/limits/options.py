"""Options of the fleet-wide limits."""

from msgspec import Struct


class LimitOptions(Struct, frozen=True):
    """Settings of `FleetLimiter`; equal on all VMs.

    Parameters
    ----------
    max_slices : int
        Most slices that a bucket is split into.
    tokens_per_slice : float
        Burst that one slice should hold, in tokens.
    demand_ttl_s : float
        Life of a grant for requests that wait, in seconds.
    max_ttl_s : float
        Longest life of a grant that was asked ahead of need, in seconds.
    wait_s : float
        Longest time that a request waits for a grant, in seconds.
    max_waiting : int
        Requests of one bucket that may wait at once on one VM.
    ask_timeout_s : float
        Silence after which the next slice is asked, in seconds.
    backoff_s, max_backoff_s : float
        First and longest time for which a silent owner is not asked, in seconds.
    tick_s : float
        Period of the timer for waiting requests and of returns, in seconds.
    demand_window_s : float
        Time constant of the estimate of demand, in seconds.
    config_spread_s : float
        Longest time until a configuration is in force on all VMs, in seconds.
    max_clock_drift : float
        Largest error of a VM's clock rate, as a share.
    max_grants_per_slice : int
        Most grants that one slice keeps at once.
    max_idle_s : float
        Time after which an entry VM forgets a bucket without traffic, in seconds.
    """

    max_slices: int = 8
    tokens_per_slice: float = 4.0
    demand_ttl_s: float = 0.05
    max_ttl_s: float = 1.0
    wait_s: float = 0.1
    max_waiting: int = 64
    ask_timeout_s: float = 0.02
    backoff_s: float = 0.2
    max_backoff_s: float = 2.0
    tick_s: float = 0.01
    demand_window_s: float = 1.0
    config_spread_s: float = 18.0
    max_clock_drift: float = 0.0005
    max_grants_per_slice: int = 4096
    max_idle_s: float = 10.0
