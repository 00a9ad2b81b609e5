"""Whether this VM may take requests now."""

from collections.abc import Callable


class DaemonAvailability:
    """Ready once the daemon knows enough to serve, until a stop or isolation.

    Parameters
    ----------
    has_learned : callable
        Whether the configuration and the owners of the shards are known.
    isolated : callable
        Whether this VM is cut off from the store and the other VMs.
    """

    __slots__ = ("stopping", "_has_learned", "_isolated")

    def __init__(
        self, has_learned: Callable[[], bool], isolated: Callable[[], bool]
    ) -> None:
        self.stopping = False
        self._has_learned = has_learned
        self._isolated = isolated

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return not self.stopping and self._has_learned() and not self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether this VM hears neither the store nor any other VM."""
        return self._isolated()
