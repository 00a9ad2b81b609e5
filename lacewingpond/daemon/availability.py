"""Whether this VM accepts requests."""

from collections.abc import Callable


class DaemonAvailability:
    """Readiness of a daemon; implements `Availability`.

    It is ready when it is initialized, not stopping and not isolated.

    Parameters
    ----------
    is_initialized : callable
        Returns whether a configuration and the shard table are known.
    isolated : callable
        Returns whether this VM is too isolated to rely on its configuration.

    Attributes
    ----------
    stopping : bool
        Set when a planned stop begins.
    """

    __slots__ = ("stopping", "_is_initialized", "_isolated")

    def __init__(
        self, is_initialized: Callable[[], bool], isolated: Callable[[], bool]
    ) -> None:
        self.stopping = False
        self._is_initialized = is_initialized
        self._isolated = isolated

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return not self.stopping and self._is_initialized() and not self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether this VM is too isolated to rely on its configuration."""
        return self._isolated()
