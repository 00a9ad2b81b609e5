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
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 360
