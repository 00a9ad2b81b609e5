"""Interface of the limit of requests in work."""

from typing import Protocol

from lacewingpond.health.outcome import Outcome


class ConcurrencyLimit(Protocol):
    """Says how many requests of a service one VM has in work at once."""

    @property
    def limit(self) -> int:
        """Requests that may be in work at once."""
        ...

    @property
    def usual_s(self) -> float:
        """Usual latency of a successful answer, in seconds; 0 when unknown."""
        ...

    def settle(
        self, now: float, outcome: Outcome, latency_s: float, in_work: int
    ) -> None:
        """Adapt to a request that ended at `now`; all times in seconds."""
        ...
