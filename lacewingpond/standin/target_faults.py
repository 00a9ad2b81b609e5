"""Current faults of a stand-in target."""

import random

import bottle
import msgspec

from lacewingpond.standin.handler import CONNECTION_KEY
from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.util.clock import Clock

HANG_POLL_S = 0.05


class TargetFaults:
    """Decides which requests fail, hang, are shed or take longer.

    Parameters
    ----------
    options : StandinTargetOptions
        Sizes and faults.
    clock : Clock
        Source of time for the faults.
    """

    __slots__ = ("options", "_clock", "_rng", "_started_at", "_silent_before")
    __slots__ += ("_is_stopped",)

    def __init__(self, options: StandinTargetOptions, clock: Clock) -> None:
        self.options = options
        self._clock = clock
        self._rng = random.Random(options.seed)
        self._started_at = clock.now()
        self._silent_before = float("-inf")
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether the target was stopped, rather than crashed."""
        return self._is_stopped

    def configure(self, options: StandinTargetOptions, port: int) -> None:
        """Replace the options except for host and slots; the port becomes `port`."""
        self.options = msgspec.structs.replace(
            options, host=self.options.host, port=port, slots=self.options.slots
        )

    def mark_started(self) -> None:
        """Restart the time from which flapping and the cold start are counted."""
        self._started_at = self._clock.now()

    def mark_stopped(self) -> None:
        """Record the stop, which ends requests that hang on silent connections."""
        self._is_stopped = True

    def silence_connections(self) -> None:
        """Stop responding on all connections that are open now; new ones work."""
        self._silent_before = self._clock.now()

    def hang_if_silent(self) -> None:
        """Block until the target stops if the request's connection is silent.

        Raises
        ------
        OSError
            After the stop; it ends the request without a response.
        """
        connection = bottle.request.environ[CONNECTION_KEY]
        if connection.opened_at > self._silent_before:
            return
        while not self._is_stopped:
            self._clock.sleep(HANG_POLL_S)
        raise connection.drop_request()

    def is_gray(self) -> bool:
        """Return whether a gray failure is on now."""
        options = self.options
        if options.gray_share <= 0.0:
            return False
        if options.flap_period_s <= 0.0:
            return True
        return self._uptime_s() % options.flap_period_s < options.flap_period_s / 2

    def slowdown_factor(self) -> float:
        """Return the current factor of the cold start on the processing time."""
        options = self.options
        uptime_s = self._uptime_s()
        if uptime_s >= options.cold_s:
            return 1.0
        progress = uptime_s / options.cold_s
        return options.cold_factor + (1.0 - options.cold_factor) * progress

    def should_shed(self, waiting: int) -> bool:
        """Return whether to shed a request while `waiting` others wait."""
        options = self.options
        if options.draining or waiting >= options.backlog:
            return True
        return options.shed_share > 0.0 and self._rng.random() < options.shed_share

    def should_fail(self) -> bool:
        """Return whether the next request fails; draws a random number."""
        return self.is_gray() and self._rng.random() < self.options.gray_share

    def work_s(self, base_s: float) -> float:
        """Return `base_s` with jitter and the factor of the cold start, in seconds."""
        jitter = self.options.work_jitter
        if jitter:
            base_s *= 1.0 + jitter * (2.0 * self._rng.random() - 1.0)
        return base_s * self.slowdown_factor()

    def _uptime_s(self) -> float:
        return self._clock.now() - self._started_at
