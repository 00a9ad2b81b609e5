"""Routes from hosts and paths to services."""

from msgspec import Struct


class WeightedService(Struct, frozen=True):
    """A service and its weight within the traffic split of a route."""

    service: str
    weight: float


class EntryRoute(Struct, frozen=True):
    """One route and the handling of its requests.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host to match exactly, in lower case.
    prefix : str
        Path prefix to match; it ends with a slash.
    split : tuple of WeightedService
        Services that share the requests of the route, by weight.
    idempotent : bool
        Whether a request may run more than once.
    public : bool
        Whether requests need no key.
    priority : int
        Priority class; 0 is the highest.
    target_latency_s : float
        Latency objective for a response, in seconds.
    timeout_s : float
        Longest time until the response, in seconds; infinite without a limit.
    max_attempts : int
        Number of targets that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    split: tuple[WeightedService, ...]
    idempotent: bool = False
    public: bool = False
    priority: int = 0
    target_latency_s: float = 2.0
    timeout_s: float = float("inf")
    max_attempts: int = 1
