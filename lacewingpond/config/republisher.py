"""Writes the current revision again to a store that went back to an older one."""

import random

from result import Result

from lacewingpond.config.head import Head
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository, StoredHead
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class Republisher:
    """Waits while the store holds an older revision, then writes the current one.

    During the wait, a VM with a still newer revision can send it to this one.

    Parameters
    ----------
    repository : ConfigRepository
        Reads and writes the store.
    holder : ConfigHolder
        Current revision of this VM.
    options : ConfigOptions
        Length of the wait.
    clock, rng, log, metrics
        Time, jitter, decision log and counters.
    """

    __slots__ = ("_repository", "_holder", "_options", "_clock", "_rng", "_log")
    __slots__ += ("_metrics", "_due_at")

    def __init__(
        self,
        repository: ConfigRepository,
        holder: ConfigHolder,
        options: ConfigOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._repository = repository
        self._holder = holder
        self._options = options
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._due_at: float | None = None

    @property
    def is_due(self) -> bool:
        """True when the store has held an older revision for long enough."""
        return self._due_at is not None and self._due_at <= self._clock.now()

    def wait_s(self, max_wait_s: float) -> float:
        """Return the seconds until the write is due, at most `max_wait_s`."""
        if self._due_at is None:
            return max_wait_s
        return min(max(self._due_at - self._clock.now(), 0.0), max_wait_s)

    def clear(self) -> None:
        """Cancel the wait, as the store holds no older revision any more."""
        self._due_at = None

    def report_older(self, found: Head) -> None:
        """Log that the store holds the older revision `found`, and start the wait.

        Does nothing while a wait is running.
        """
        if self._due_at is not None:
            return
        wait_s = self._options.republish_after_s * (1.0 + self._rng.random())
        self._due_at = self._clock.now() + wait_s
        self._metrics.incr("config.store_older")
        self._log.decision(
            "config-store-older",
            str(found.revision),
            "the store holds an older revision; the newer one stays current",
            held=self._holder.revision,
        )

    def republish(self, stored: StoredHead) -> bool:
        """Replace the older head `stored`; return False when it must be retried."""
        self._due_at = None
        state = self._holder.state
        self._report_discarded_plans(stored.head, state.head)
        refs = set(state.head.chunks) - set(stored.head.chunks)
        written = self._repository.write_chunks(state, tuple(sorted(refs)))
        if written.is_ok():
            written = self._repository.write_head(state.head, stored.store_revision)
        return self._finish(written, stored.head)

    def _report_discarded_plans(self, found: Head, held: Head) -> None:
        known = set(held.history)
        for confirmed in found.history:
            if confirmed in known or confirmed.revision > held.revision:
                continue
            if held.history_covers(confirmed.revision):
                self._metrics.incr("config.forks")
                self._log.decision(
                    "config-fork",
                    str(confirmed.revision),
                    "a plan accepted by the older store is discarded",
                    plan=confirmed.plan_id,
                )

    def _finish(self, written: Result[object, StoreError], found: Head) -> bool:
        """Log the outcome of the write, or set the time of the next attempt."""
        if written.is_ok():
            self._metrics.incr("config.republished")
            self._log.decision(
                "config-republish",
                str(self._holder.revision),
                "written again to a store that held an older revision",
                found=found.revision,
            )
            return True
        if written.err_value.failure is StoreFailure.CONFLICT:
            # Another VM wrote first; the watch will return its head.
            return True
        self._due_at = self._clock.now() + self._options.republish_after_s
        return False
