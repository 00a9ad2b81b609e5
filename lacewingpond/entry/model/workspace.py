"""A workspace: its keys and its rate."""

from msgspec import Struct


class EntryWorkspace(Struct, frozen=True):
    """One customer.

    Parameters
    ----------
    name : str
        Unique name.
    keys : tuple of str
        Keys of its clients; never logged.
    priority : int or None
        Rank, 0 first; None leaves it to the route.
    rate, burst : float
        Requests a second, and at once, over the whole fleet; a rate of 0 has no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        return f"EntryWorkspace({self.name!r})"
