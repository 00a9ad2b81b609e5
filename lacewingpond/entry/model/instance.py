"""One running target of a service."""

from msgspec import Struct


class Instance(Struct, frozen=True):
    """A target as it describes itself in the store.

    Parameters
    ----------
    target_id : str
        Unique among those that run now.
    service, address, failure_domain : str
        What it serves, ``host:port``, and where it runs.
    slots : int
        Requests that it works on at once.
    draining : bool
        Whether it takes no new work.
    warmup_left_s : float
        How much longer it is slow after its start, when the entry was written.
    incarnation : int
        Differs after each start under the same id; 0 if unknown.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    incarnation: int = 0
