"""Interface to the state of this VM."""

from typing import Protocol


class Availability(Protocol):
    """Whether this VM may take requests."""

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        ...

    @property
    def is_isolated(self) -> bool:
        """Whether this VM hears neither the store nor any other VM."""
        ...
