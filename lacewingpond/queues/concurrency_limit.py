"""Interface of limits on the requests in flight."""

from typing import Protocol

from lacewingpond.health.outcome import Outcome


class ConcurrencyLimit(Protocol):
    """Limits how many requests one VM has in flight to a service."""

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        ...

    @property
    def mean_latency_s(self) -> float:
        """Moving average of successful requests' latency, in seconds; 0 if unknown."""
        ...

    def update(
        self, now: float, outcome: Outcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt the limit to a request that ended at `now`; all times in seconds."""
        ...
