"""Faults of the stand-in platform."""

from msgspec import Struct


class PlatformFaults(Struct):
    """Faults that are switched on while the platform runs.

    Parameters
    ----------
    outage : bool
        Calls are refused before they take effect.
    hang : bool
        Calls are taken and never answered; no write takes effect.
    delay_s : float
        Added to each call.
    lose_answers : int
        Next writes that take effect and whose answers are lost.
    lose_prefix : str
        Only answers to writes of keys that start with it are lost; a lease has
        the empty key.
    list_outage : bool
        The VM list can't be read.
    list_lag_s : float
        How far the VM list lies behind.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""
    list_outage: bool = False
    list_lag_s: float = 0.0
