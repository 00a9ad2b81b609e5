"""A workspace with its keys and its rate limit."""

from msgspec import Struct


class EntryWorkspace(Struct, frozen=True):
    """One customer, whose callers share keys and a quota.

    Parameters
    ----------
    name : str
        Unique name.
    keys : tuple of str
        Keys with which its callers authenticate; never logged.
    priority : int or None
        Priority class, 0 is the highest; None uses that of the route.
    rate : float
        Requests per second over the whole fleet; 0 for no limit.
    burst : float
        Requests over the whole fleet that may come at once beyond the rate.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        return f"EntryWorkspace({self.name!r})"
