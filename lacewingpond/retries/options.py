"""Options of the retry budget."""

from msgspec import Struct


class RetryOptions(Struct, frozen=True):
    """Retry budget of each service.

    Parameters
    ----------
    share : float
        Number of retries that each request adds to the budget.
    first : float
        Retries that a service has before its first request.
    reserve : float
        Largest number of retries that a service may accumulate.
    max_services : int
        Largest number of services that have a budget.
    """

    share: float = 0.1
    first: float = 3.0
    reserve: float = 10.0
    max_services: int = 4096
