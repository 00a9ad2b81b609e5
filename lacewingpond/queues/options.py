"""Options of the queues."""

from msgspec import Struct


class QueueOptions(Struct, frozen=True):
    """Bounds of each service's queue and of its concurrency limit.

    Parameters
    ----------
    max_waiting : int
        Maximum number of requests waiting for one service.
    first_limit : float
        Initial limit on requests in flight, for each service and VM.
    min_limit, max_limit : float
        Bounds of the adaptive limit.
    backoff : float
        Factor on the limit when a target sheds load, or a request times out or is
        slow.
    slow_factor : float
        Ratio of latency to its moving average above which the limit decreases.
    refuse_ratio : float
        Ratio of predicted to remaining time from which a request that would have to
        wait is refused at once; 0 refuses none.
    sweep_s : float
        Time between checks for passed deadlines, in seconds.
    """

    max_waiting: int = 256
    first_limit: float = 12.0
    min_limit: float = 2.0
    max_limit: float = 200.0
    backoff: float = 0.85
    slow_factor: float = 3.0
    refuse_ratio: float = 0.5
    sweep_s: float = 0.02
