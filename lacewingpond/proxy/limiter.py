"""Interface of the fleet-wide rate limiter."""

from typing import Protocol

from lacewingpond.limits.admission import Admission


class Limiter(Protocol):
    """Admits requests within the fleet-wide rate limits."""

    def bucket_ids(
        self, workspace: str, route: str, service: str = ""
    ) -> tuple[str, ...]:
        """Return the token buckets that a request draws from."""
        ...

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take one token from each bucket, or none from any."""
        ...
