"""Options of the platform's HTTP clients."""

from msgspec import Struct


class StoreOptions(Struct, frozen=True):
    """Address of the platform, and timeouts of calls to it.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform, with an IP address.
    connect_timeout_s, read_timeout_s : float
        Timeouts of a call, in seconds; a watch adds its own wait to the read timeout.
    max_connections : int
        Maximum number of pooled connections to the platform.
    """

    address: str = "127.0.0.1:7070"
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 2.0
    max_connections: int = 8
