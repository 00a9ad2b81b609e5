"""Options of the retry budget."""

from msgspec import Struct


class RetryOptions(Struct, frozen=True):
    """How many retries this VM allows itself.

    Parameters
    ----------
    share : float
        Retries for each request that is sent for the first time.
    least_per_s : float
        Retries a second that are allowed at any load.
    max_saved : float
        Most retries that may be saved up.
    """

    share: float = 0.1
    least_per_s: float = 1.0
    max_saved: float = 20.0
