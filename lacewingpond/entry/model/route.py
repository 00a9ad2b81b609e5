"""Which requests go to which services, and how."""

from msgspec import Struct


class WeightedService(Struct, frozen=True):
    """A part of a route's requests."""

    service: str
    weight: float


class EntryRoute(Struct, frozen=True):
    """One route.

    Parameters
    ----------
    name, host, prefix : str
        Unique name, exact host, and prefix of the path that ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    public : bool
        Whether no key is needed.
    priority : int
        Rank, 0 first.
    target_latency_s : float
        Time within which an answer is worth most.
    timeout_s : float
        Longest time that a client is kept waiting; infinite without a limit.
    max_attempts : int
        Targets that one request may reach.
    split : tuple of WeightedService
        Where its requests go.
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
