"""Options of the queues."""

from msgspec import Struct


class QueueOptions(Struct, frozen=True):
    """Bounds of each service's queue and of its concurrency.

    Parameters
    ----------
    max_waiting : int
        Requests that may wait for one service.
    first_limit : float
        Requests in work at once, of one service and VM, before any answer.
    min_limit, max_limit : float
        Bounds of the adaptive limit.
    backoff : float
        Factor on the limit when a target sheds or answers turn slow.
    slow_factor : float
        Rise of latency above its usual value that lowers the limit.
    refuse_ratio : float
        Ratio of the predicted to the remaining time from which a request that
        must wait is refused early; 0 refuses none.
    sweep_s : float
        Time between looks for passed deadlines, in seconds.
    """

    max_waiting: int = 256
    first_limit: float = 12.0
    min_limit: float = 2.0
    max_limit: float = 200.0
    backoff: float = 0.85
    slow_factor: float = 3.0
    refuse_ratio: float = 0.5
    sweep_s: float = 0.02
