"""Options of the stand-ins."""

from msgspec import Struct


class StandinPlatformOptions(Struct, frozen=True):
    """Options of the stand-in platform.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 takes a free one.
    writes_per_s, reads_per_s : float
        Rate limits of store calls; a watch counts as one read.
    list_lag_s : float
        Age of the VM list that is returned.
    """

    host: str = "127.0.0.1"
    port: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2_000.0
    list_lag_s: float = 0.0


class StandinTargetOptions(Struct, frozen=True):
    """Options of a stand-in target, including its faults.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 takes a free one.
    name : str
        Value of the response header ``Lacewingpond-Target``.
    slots : int
        Maximum number of requests processed at once.
    backlog : int
        Maximum number of requests that wait for a slot; further ones are shed.
    work_s : float
        Processing time of one request.
    work_jitter : float
        Largest deviation of the processing time from `work_s`, as a share of it.
    gray_share : float
        Share of requests that fail although health checks pass (gray failure).
    gray_way : str
        How they fail: ``error`` and ``hang`` end with status 500, ``hang`` after
        `gray_delay_s`; ``slow`` succeeds after `gray_delay_s`.
    gray_delay_s : float
        Delay of a request that hangs or is slow.
    flap_period_s : float
        Period in which the gray failure is on for one half and off for the other;
        0 means always on.
    cold_s, cold_factor : float
        Length of the cold start, and the factor on the processing time at its
        beginning, which falls linearly to 1.
    shed_share : float
        Share of requests that are shed at any load.
    draining : bool
        Whether all new requests are refused and health checks fail.
    probe_says : str
        Result of the health check: ``truth`` (unhealthy during a gray failure),
        ``well`` or ``sick``.
    load_says : float
        Load to report, 0 to 1; negative means the actual load.
    probe_s : float
        Time that a health check takes.
    restart_s : float
        Time between a crash and the restart.
    seed : int
        Seed of the random choices.
    """

    host: str = "127.0.0.1"
    port: int = 0
    name: str = "target"
    slots: int = 6
    backlog: int = 24
    work_s: float = 0.01
    work_jitter: float = 0.0
    gray_share: float = 0.0
    gray_way: str = "error"
    gray_delay_s: float = 2.0
    flap_period_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    shed_share: float = 0.0
    draining: bool = False
    probe_says: str = "well"
    load_says: float = -1.0
    probe_s: float = 0.0
    restart_s: float = 1.0
    seed: int = 1
