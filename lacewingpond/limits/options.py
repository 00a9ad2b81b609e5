"""Options of the fleet-wide limits."""

from msgspec import Struct


class LimitOptions(Struct, frozen=True):
    """Rate limits of the whole fleet; must be equal on all VMs.

    Parameters
    ----------
    max_slices : int
        Maximum number of slices that a bucket is split into.
    tokens_per_slice : float
        Burst that one slice should hold, in tokens.
    demand_ttl_s : float
        Time to live of a grant for waiting requests, in seconds.
    max_ttl_s : float
        Longest time to live of a prefetched grant, in seconds.
    wait_s : float
        Longest time that a request waits for a grant, in seconds.
    max_waiting : int
        Maximum number of requests that wait for one bucket on one VM.
    ask_timeout_s : float
        Time without a response after which the next slice is asked, in seconds.
    backoff_s, max_backoff_s : float
        Initial and longest time for which an unresponsive owner is not asked, in
        seconds.
    tick_s : float
        Period of the timer that serves waiting requests and returns tokens, in
        seconds.
    demand_window_s : float
        Time constant of the moving average of demand, in seconds.
    config_spread_s : float
        Longest time until a configuration is applied on all VMs, in seconds.
    max_clock_drift : float
        Largest relative error of the rate of a VM's clock.
    max_grants_per_slice : int
        Maximum number of outstanding grants of one slice.
    max_idle_s : float
        Time without traffic after which an entry VM drops a bucket's state, in
        seconds.
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
