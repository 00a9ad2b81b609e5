"""Options of the stand-ins."""

from msgspec import Struct


class PlatformOptions(Struct, frozen=True):
    """Options of the stand-in platform.

    Parameters
    ----------
    host, port : str, int
        Where it listens; port 0 takes a free one.
    writes_per_s, reads_per_s : float
        Rate limits; a watch counts as one read.
    list_lag_s : float
        How far the VM list lies behind.
    """

    host: str = "127.0.0.1"
    port: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2_000.0
    list_lag_s: float = 0.0


class TargetOptions(Struct, frozen=True):
    """Options of a stand-in target, its faults among them.

    Parameters
    ----------
    host, port : str, int
        Where it listens; port 0 takes a free one.
    name : str
        Reported in the answer header ``Lacewingpond-Target``.
    slots : int
        Requests that it works on at once.
    backlog : int
        Requests that wait for a slot; more are shed.
    work_s : float
        Time that one request takes.
    work_jitter : float
        Share of `work_s` by which the time varies to both sides.
    gray_share : float
        Share of real requests that fail while the probe answers well.
    gray_way : str
        How they fail: ``error`` (500), ``hang`` or ``slow``.
    gray_delay_s : float
        How long a hanging or slow request takes.
    flap_period_s : float
        Half a period gray, half well; 0 means no flapping.
    cold_s, cold_factor : float
        For `cold_s` after the start work takes up to `cold_factor` times longer.
    shed_share : float
        Share of requests that are shed at any load.
    draining : bool
        Refuse all new work.
    probe_says : str
        ``truth``, ``well`` or ``sick``.
    load_says : float
        Load, 0 to 1, reported whatever the truth is; negative means the truth.
    probe_s : float
        Time that a probe takes.
    restart_s : float
        How long it stays away after a crash.
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
