"""Interface of the fleet-wide limits."""

from typing import Protocol

from lacewingpond.limits.admission import Admission


class Limiter(Protocol):
    """Admits requests within the fleet-wide rates."""

    def bucket_ids(
        self, workspace: str, route: str, service: str = ""
    ) -> tuple[str, ...]:
        """Return the limits that a request must pass."""
        ...

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take a token of each limit, or none."""
        ...
