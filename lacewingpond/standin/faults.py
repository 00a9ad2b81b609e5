"""Faults that the stand-in platform injects."""

from msgspec import Struct


class PlatformFaults(Struct):
    """Faults, which may be changed while the platform runs.

    Parameters
    ----------
    outage : bool
        Calls fail before they take effect.
    hang : bool
        Calls get no response until the fault ends, and take effect only then.
    delay_s : float
        Delay added to each call.
    lose_answers : int
        Number of writes still to come that take effect but whose responses are lost.
    lose_prefix : str
        Restricts `lose_answers` to writes of keys with this prefix; a lease call
        counts as a write of the empty key.
    list_outage : bool
        Reads of the VM list fail.
    list_lag_s : float
        Age of the VM list that is returned.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""
    list_outage: bool = False
    list_lag_s: float = 0.0
