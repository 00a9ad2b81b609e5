"""A service to which routes send requests."""

from msgspec import Struct


class EntryService(Struct, frozen=True):
    """One service; its targets have entries of their own in the store.

    Parameters
    ----------
    name : str
        Unique name.
    health_path : str
        Path of the health check of its targets.
    max_connections : int
        Number of connections that one target accepts from the whole fleet.
    warmup_s : float
        Time for which a new target stays cold, in seconds; 0 for none.
    warmup_rate : float
        Requests per second that a cold target tolerates from the whole fleet; 0 for
        no limit.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 360
    warmup_s: float = 0.0
    warmup_rate: float = 0.0
