"""A retry budget: retries are a bounded share of the requests.

Source: the retry budgets of Finagle and of "Handling Overload" in Site Reliability
Engineering (O'Reilly, 2016): a fixed number of retries for each request multiplies
the load of a service that is failing already.
"""

from lacewingpond.retries.options import RetryOptions
from lacewingpond.util.clock import Clock


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Parameters
    ----------
    options : RetryOptions
        What requests earn.
    clock : Clock
        Measures what time earns.
    """

    __slots__ = ("_options", "_clock", "_saved", "_counted_at")

    def __init__(self, options: RetryOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self._saved = options.max_saved
        self._counted_at = clock.now()

    @classmethod
    def from_options(cls, options: RetryOptions, clock: Clock) -> "RetryBudget":
        """Return a full budget."""
        return cls(options, clock)

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._earn(self._options.share)

    def try_retry(self) -> bool:
        """Take the right to one retry; False when there is none."""
        self._earn_by_time()
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _earn(self, tokens: float) -> None:
        self._saved = min(self._saved + tokens, self._options.max_saved)

    def _earn_by_time(self) -> None:
        now = self._clock.now()
        self._earn((now - self._counted_at) * self._options.least_per_s)
        self._counted_at = now
