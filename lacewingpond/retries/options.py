"""Options of the retry budget."""

from msgspec import Struct


class RetryOptions(Struct, frozen=True):
    """Settings of `RetryBudget`.

    Parameters
    ----------
    share : float
        Retries per request that the budget earns.
    reserve : float
        Most retries that may be saved up.
    max_services : int
        Most services whose budgets are kept.
    """

    share: float = 0.1
    reserve: float = 10.0
    max_services: int = 4096
