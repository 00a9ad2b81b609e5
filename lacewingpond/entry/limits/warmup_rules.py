"""Bounds on the requests to a cold target, and the size of its bucket."""

from msgspec import Struct

from lacewingpond.entry.quota.allowance import Allowance
from lacewingpond.entry.quota.standby_shares import WINDOW_S

# With a lower bound, two buckets of a whole token each would hardly refill.
MIN_BOUND = 2.5


class WarmupRules(Struct, frozen=True):
    """The bound on the requests that a cold target gets in any second.

    Parameters
    ----------
    overage : float
        Requests, as a multiple of the rate that the target tolerates.
    slack : float
        Number of requests on top of that.
    """

    overage: float = 1.5
    slack: float = 8.0

    def bound(self, rate: float) -> float:
        """Return the most requests in a second, for a tolerated `rate` per second."""
        return rate * self.overage + self.slack


DEFAULT_RULES = WarmupRules()


def warmup_allowance(name: str, rate: float, bound: float) -> Allowance | None:
    """Return the bucket of a cold target, None if the bound allows no bucket.

    Two VMs that both grant the whole bucket keep the bound together.

    Parameters
    ----------
    name : str
        Name of the bucket.
    rate : float
        Requests per second that the target tolerates.
    bound : float
        Most requests in any second.
    """
    if bound < MIN_BOUND or rate <= 0.0:
        return None
    half = bound / 2.0
    refill_rate = min(rate, half - 1.0)
    size = half - refill_rate * WINDOW_S
    return Allowance(name, refill_rate, size, allows_standby=True)
