"""Interface for the readiness and isolation of this VM."""

from typing import Protocol


class Availability(Protocol):
    """Tells whether this VM may serve requests."""

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this VM."""
        ...

    @property
    def is_isolated(self) -> bool:
        """Whether this VM is too isolated to rely on its configuration."""
        ...
