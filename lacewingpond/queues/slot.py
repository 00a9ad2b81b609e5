"""Permission to have one request in flight to a service."""

from collections.abc import Callable

from lacewingpond.health.outcome import Outcome


class Slot:
    """Held while a request is in flight; to be released by `release`.

    Parameters
    ----------
    waited_s : float
        Time spent in the queue, in seconds.
    on_release : callable
        Called once with the outcome and the latency in seconds.
    """

    __slots__ = ("waited_s", "_on_release")

    def __init__(
        self, waited_s: float, on_release: Callable[[Outcome, float], None]
    ) -> None:
        self.waited_s = waited_s
        self._on_release: Callable[[Outcome, float], None] | None = on_release

    def release(self, outcome: Outcome, latency_s: float) -> None:
        """Release the slot; only the first call has an effect.

        Parameters
        ----------
        outcome : Outcome
            Result of the request.
        latency_s : float
            Duration of the request, in seconds.
        """
        if self._on_release is None:
            return
        on_release, self._on_release = self._on_release, None
        on_release(outcome, latency_s)
