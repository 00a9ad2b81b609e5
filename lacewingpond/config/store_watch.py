"""Applies new revisions from the store by watching its head."""

import random
from collections.abc import Callable

from result import Result

from lacewingpond.config.contact_times import ContactTimes
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import (
    HEAD_KEY,
    ConfigRepository,
    StoredHead,
    parse_head,
)
from lacewingpond.config.republisher import Republisher
from lacewingpond.config.state import ConfigState
from lacewingpond.store.base import StoreError, WatchBatch, WatchEvent
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class StoreWatch:
    """Watches the head in the store and applies newer ones.

    Parameters
    ----------
    repository : ConfigRepository
        Reads and writes the store.
    holder : ConfigHolder
        Current revision of this VM; new ones are applied to it.
    contacts : ContactTimes
        Records each response of the store.
    on_applied : callable
        Called after a revision from the store was applied.
    options : ConfigOptions
        Timeouts, delays and backoff.
    clock, rng, log, metrics
        Time, jitter, decision log and counters.
    """

    __slots__ = ("_repository", "_holder", "_contacts", "_on_applied", "_options")
    __slots__ += ("_clock", "_rng", "_log", "_metrics", "_watch_after", "_failures")
    __slots__ += ("_republisher", "_stored_config_revision")

    def __init__(
        self,
        repository: ConfigRepository,
        holder: ConfigHolder,
        contacts: ContactTimes,
        on_applied: Callable[[], None],
        options: ConfigOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._repository = repository
        self._holder = holder
        self._contacts = contacts
        self._on_applied = on_applied
        self._options = options
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        # Store revision after which the next watch reports changes.
        self._watch_after = 0
        # Revision of the configuration in the head that was last read or watched.
        self._stored_config_revision = 0
        self._failures = 0
        self._republisher = Republisher(
            repository, holder, options, clock, rng, log, metrics
        )

    def step(self) -> None:
        """Wait for one response of the store and apply it.

        After a failure, returns after a random backoff, so that not all VMs call
        the store again at the same moment.
        """
        if self._watch():
            self._failures = 0
            return
        self._failures += 1
        self._metrics.incr("config.store_failures")
        self._clock.sleep(self._backoff_s())

    def catch_up(self, immediately: bool = True) -> Result[StoredHead, StoreError]:
        """Read the head, apply it if newer, and return it.

        Parameters
        ----------
        immediately : bool
            False to first wait for other VMs to deliver the revision.
        """
        read = self._repository.read_head()
        if read.is_ok():
            self._contacts.record_store_response()
            self._apply_head(read.ok_value, immediately)
        return read

    def _backoff_s(self) -> float:
        options = self._options
        max_s = min(options.retry_min_s * 2**self._failures, options.retry_max_s)
        return self._rng.uniform(options.retry_min_s, max(max_s, options.retry_min_s))

    def _watch(self) -> bool:
        """Watch the store once, or republish if due; return False after a failure."""
        if self._republisher.is_due:
            return self._republish()
        # A watch may block for long. After a failure, a read first shows whether
        # the store responds again.
        if self._failures and self.catch_up(immediately=False).is_err():
            return False
        wait_s = self._republisher.wait_s(self._options.watch_timeout_s)
        watched = self._repository.store.watch(HEAD_KEY, self._watch_after, wait_s)
        if watched.is_err():
            return False
        self._contacts.record_store_response()
        return self._apply_batch(watched.ok_value)

    def _republish(self) -> bool:
        """Write the current revision, unless the store no longer has an older one."""
        read = self._repository.read_head()
        if read.is_err():
            return False
        self._contacts.record_store_response()
        if read.ok_value.head.revision >= self._holder.revision:
            return self._apply_head(read.ok_value)
        return self._republisher.republish(read.ok_value)

    def _apply_batch(self, batch: WatchBatch) -> bool:
        """Apply the result of a watch, which may show that the store went back."""
        if batch.revision < self._watch_after:
            # The store's own revision went back, so the head must be read again.
            read = self._repository.read_head()
            if read.is_err() or not self._apply_head(read.ok_value):
                return False
            self._watch_after = batch.revision
            return True
        if not batch.events and self._holder.revision > self._stored_config_revision:
            # The newer revision that was applied here should be in the store by now.
            # If the store went back before this watch saw it, only a read of the
            # head shows that.
            self._watch_after = batch.revision
            return self.catch_up(immediately=False).is_ok()
        for event in batch.events:
            if event.key == HEAD_KEY and not self._apply_event(event):
                return False
        self._watch_after = batch.revision
        return True

    def _apply_event(self, event: WatchEvent) -> bool:
        if event.value is None:
            # The head was removed: the store may have another one by now, or none.
            return self.catch_up(immediately=False).is_ok()
        parsed = parse_head(event.value, event.revision)
        if parsed.is_err():
            self._log.decision(
                "config-head", HEAD_KEY, "unreadable", detail=parsed.err_value.detail
            )
            return False
        return self._apply_head(parsed.ok_value)

    def _apply_head(self, stored: StoredHead, immediately: bool = False) -> bool:
        """Apply a newer head, or start the wait to replace an older one."""
        held = self._holder.state
        self._stored_config_revision = stored.head.revision
        if stored.head.revision < held.revision:
            self._republisher.report_older(stored.head)
            return True
        self._republisher.clear()
        if stored.head.revision == held.revision:
            self._check_fork(stored, held)
            return True
        if not immediately:
            self._wait_for_peers(stored)
        return self._load(stored)

    def _load(self, stored: StoredHead) -> bool:
        if self._holder.revision >= stored.head.revision:
            return True
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_err():
            # A chunk may be deleted because the head has changed, so watch again
            # from the start to get the present head.
            self._watch_after = 0
            self._log.decision(
                "config-load",
                str(stored.head.revision),
                "not loaded from the store",
                detail=loaded.err_value,
            )
            return False
        if self._holder.replace(loaded.ok_value):
            self._log.decision(
                "config-apply", str(self._holder.revision), "read from the store"
            )
            self._on_applied()
        return True

    def _wait_for_peers(self, stored: StoredHead) -> None:
        """Delay the load, or for many chunks wait for peers to deliver the revision.

        Few VMs then read the chunks and push them to the others. Without the delay,
        each VM would read the same chunks from the store: all watches return at once,
        and a fleet that starts needs all chunks on each VM.
        """
        options = self._options
        missing = len(self._holder.state.missing_chunks(stored.head))
        if missing <= options.small_load_chunks:
            self._clock.sleep(self._rng.uniform(0.0, options.load_jitter_s))
            return
        deadline = self._clock.now() + options.large_load_wait_s
        self._clock.sleep(self._rng.uniform(0.0, options.large_load_jitter_s))
        while self._peers_can_deliver(stored) and self._clock.now() < deadline:
            self._clock.sleep(options.pull_period_s)

    def _peers_can_deliver(self, stored: StoredHead) -> bool:
        """Return whether pulls are expected to deliver the revision of `stored`."""
        if self._holder.revision >= stored.head.revision:
            return False
        known = self._contacts.fleet_revision >= stored.head.revision
        return known and self._contacts.peer_age_s() < self._options.lonely_after_s

    def _check_fork(self, stored: StoredHead, held: ConfigState) -> None:
        """Log that content differs under the same revision; nothing is changed."""
        if stored.head.root() == held.root:
            return
        self._metrics.incr("config.forks")
        self._log.decision(
            "config-fork",
            str(held.revision),
            "the store holds different content under the same revision",
            stored_plan=stored.head.plan_id,
            held_plan=held.head.plan_id,
        )
