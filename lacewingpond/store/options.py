"""Options of the store's HTTP adapter."""

from msgspec import Struct


class StoreOptions(Struct, frozen=True):
    """Where the platform is, and how long to wait for it.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform, by IP number.
    connect_timeout_s, read_timeout_s : float
        Limits of one call; a watch waits its own time on top.
    max_connections : int
        Connections held to the platform.
    """

    address: str = "127.0.0.1:7070"
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 2.0
    max_connections: int = 8
