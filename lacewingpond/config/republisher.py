"""Writes the revision in force again to a store that came back older."""

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
    """Waits until an older store is sure to be older, then writes to it.

    The wait lets a VM with a still newer revision pass it on first.

    Parameters
    ----------
    repository : ConfigRepository
        The store's side.
    holder : ConfigHolder
        The revision in force.
    options : ConfigOptions
        Holds the wait.
    clock, rng, log, metrics
        Time, jitter, decisions and counters.
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
        """True when the store has been older for long enough."""
        return self._due_at is not None and self._due_at <= self._clock.now()

    def wait_s(self, longest_s: float) -> float:
        """Return how long to wait for the store before looking here again."""
        if self._due_at is None:
            return longest_s
        return min(max(self._due_at - self._clock.now(), 0.0), longest_s)

    def clear(self) -> None:
        """Forget that the store was older."""
        self._due_at = None

    def note_older(self, found: Head) -> None:
        """Say loudly that the store holds an older revision, and start the wait."""
        if self._due_at is not None:
            return
        wait_s = self._options.republish_after_s * (1.0 + self._rng.random())
        self._due_at = self._clock.now() + wait_s
        self._metrics.incr("config.store_older")
        self._log.decision(
            "config-store-older",
            str(found.revision),
            "the store came back older; the newer revision stays in force",
            held=self._holder.revision,
        )

    def republish(self, stored: StoredHead) -> bool:
        """Write the revision in force over an older head; False to try again."""
        self._due_at = None
        state = self._holder.state
        self._report_replaced(stored.head, state.head)
        refs = set(state.head.chunks) - set(stored.head.chunks)
        written = self._repository.write_chunks(state, tuple(sorted(refs)))
        if written.is_ok():
            written = self._repository.write_head(state.head, stored.store_revision)
        return self._finish(written, stored.head)

    def _report_replaced(self, found: Head, held: Head) -> None:
        known = set(held.history)
        for confirmed in found.history:
            if confirmed in known or confirmed.revision > held.revision:
                continue
            if held.remembers(confirmed.revision):
                self._metrics.incr("config.forks")
                self._log.decision(
                    "config-fork",
                    str(confirmed.revision),
                    "a plan accepted by the older store is replaced",
                    plan=confirmed.plan_id,
                )

    def _finish(self, written: Result[object, StoreError], found: Head) -> bool:
        if written.is_ok():
            self._metrics.incr("config.republished")
            self._log.decision(
                "config-republish",
                str(self._holder.revision),
                "written again to a store that came back older",
                found=found.revision,
            )
            return True
        if written.err_value.failure is StoreFailure.CONFLICT:
            # Another VM was first; the watch shows what it wrote.
            return True
        self._due_at = self._clock.now() + self._options.republish_after_s
        return False
