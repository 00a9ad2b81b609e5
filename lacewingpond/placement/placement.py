"""The placement of one request."""

from collections.abc import Callable

from lacewingpond.config.model import Target


class Placement:
    """A chosen target, at which the request counts as in flight until `done`.

    Parameters
    ----------
    target : Target
        Where to send the request.
    on_done : callable
        Called once with the load that the target reported, or None.
    """

    __slots__ = ("target", "_on_done")

    def __init__(self, target: Target, on_done: Callable[[float | None], None]) -> None:
        self.target = target
        self._on_done: Callable[[float | None], None] | None = on_done

    def done(self, load: float | None) -> None:
        """End the request; further calls do nothing.

        Parameters
        ----------
        load : float or None
            Number of running requests that the target reported in its response.
        """
        if self._on_done is None:
            return
        on_done, self._on_done = self._on_done, None
        on_done(load)
