"""Targets as the entry daemon reads them from the store."""

from msgspec import Struct


class EntryTarget(Struct, frozen=True):
    """A target as its own entry in the store describes it.

    Parameters
    ----------
    target_id : str
        Unique among the running targets.
    service : str
        Name of the service.
    address : str
        ``host:port`` where it listens.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Number of requests that it processes concurrently.
    draining : bool
        Whether it accepts no new requests.
    warmup_left_s : float
        Seconds left, when the entry was written, of the time after a start in which
        the target is slow.
    incarnation : int
        Changes with each start under the same id; 0 if unknown.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    incarnation: int = 0
