"""Options of the retry budget."""

from msgspec import Struct


class RetryOptions(Struct, frozen=True):
    """Settings of `RetryBudget`.

    Parameters
    ----------
    share : float
        Retries per request that the budget earns.
    first : float
        Retries that a service has before its first request.
    reserve : float
        Most retries that may be saved up.
    max_services : int
        Most services whose budgets are kept.
    """

    share: float = 0.1
    first: float = 3.0
    reserve: float = 10.0
    max_services: int = 4096
