"""The faults of a stand-in target, as they stand now."""

import random

import bottle
import msgspec

from lacewingpond.standin.handler import CONNECTION_KEY
from lacewingpond.standin.options import TargetOptions
from lacewingpond.util.clock import Clock

HANG_POLL_S = 0.05


class TargetFaults:
    """Decides which requests fail, hang or take longer.

    Parameters
    ----------
    options : TargetOptions
        Faults and sizes.
    clock : Clock
        Times the faults.
    """

    __slots__ = ("options", "_clock", "_rng", "_started_at", "_silent_before")
    __slots__ += ("_stopped",)

    def __init__(self, options: TargetOptions, clock: Clock) -> None:
        self.options = options
        self._clock = clock
        self._rng = random.Random(options.seed)
        self._started_at = clock.now()
        self._silent_before = float("-inf")
        self._stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether the target was stopped for good."""
        return self._stopped

    def configure(self, options: TargetOptions, port: int) -> None:
        """Replace the options; address and slots stay."""
        self.options = msgspec.structs.replace(
            options, host=self.options.host, port=port, slots=self.options.slots
        )

    def note_start(self) -> None:
        """Count the times of faults from now."""
        self._started_at = self._clock.now()

    def note_stop(self) -> None:
        """End the hanging of silent connections."""
        self._stopped = True

    def silence_connections(self) -> None:
        """Let all connections open now go silent for good; new ones work."""
        self._silent_before = self._clock.now()

    def hang_if_silent(self) -> None:
        """Block until the target stops when the request's connection is silent."""
        connection = bottle.request.environ[CONNECTION_KEY]
        if connection.opened_at > self._silent_before:
            return
        while not self._stopped:
            self._clock.sleep(HANG_POLL_S)
        raise connection.drop_request()

    def is_gray(self) -> bool:
        """Return whether real work fails now by the options."""
        options = self.options
        if options.gray_share <= 0.0:
            return False
        if options.flap_period_s <= 0.0:
            return True
        return self._age_s() % options.flap_period_s < options.flap_period_s / 2

    def slowness(self) -> float:
        """Return how many times longer work takes now, after a cold start."""
        options = self.options
        age_s = self._age_s()
        if age_s >= options.cold_s:
            return 1.0
        warmth = age_s / options.cold_s
        return options.cold_factor + (1.0 - options.cold_factor) * warmth

    def must_shed(self, waiting: int) -> bool:
        """Return whether to refuse a request while `waiting` others wait."""
        options = self.options
        if options.draining or waiting >= options.backlog:
            return True
        return options.shed_share > 0.0 and self._rng.random() < options.shed_share

    def must_fail(self) -> bool:
        """Return whether the next piece of work fails."""
        return self.is_gray() and self._rng.random() < self.options.gray_share

    def work_s(self, asked_s: float) -> float:
        """Return how long work takes, in seconds, when `asked_s` is asked for."""
        jitter = self.options.work_jitter
        if jitter:
            asked_s *= 1.0 + jitter * (2.0 * self._rng.random() - 1.0)
        return asked_s * self.slowness()

    def _age_s(self) -> float:
        return self._clock.now() - self._started_at
