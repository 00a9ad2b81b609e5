"""Learns new revisions from the store by watching its head."""

import random
from collections.abc import Callable

from result import Result

from lacewingpond.config.contacts import Contacts
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
    """Watches the head in the store.

    Parameters
    ----------
    repository : ConfigRepository
        The store's side.
    holder : ConfigHolder
        Takes new revisions.
    contacts : Contacts
        Notes each answer of the store.
    on_news : callable
        Called after a new revision came into force.
    options : ConfigOptions
        Timeouts.
    clock, rng, log, metrics
        Time, jitter, decisions and counters.
    """

    __slots__ = ("_repository", "_holder", "_contacts", "_on_news", "_options")
    __slots__ += ("_clock", "_rng", "_log", "_metrics", "_after", "_failures")
    __slots__ += ("_republisher", "_stored_revision")

    def __init__(
        self,
        repository: ConfigRepository,
        holder: ConfigHolder,
        contacts: Contacts,
        on_news: Callable[[], None],
        options: ConfigOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._repository = repository
        self._holder = holder
        self._contacts = contacts
        self._on_news = on_news
        self._options = options
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._after = 0
        self._stored_revision = 0
        self._failures = 0
        self._republisher = Republisher(
            repository, holder, options, clock, rng, log, metrics
        )

    def step(self) -> None:
        """Wait for one answer of the store, and take what it says.

        After a failure it returns when a random pause is over, so that the VMs
        don't all come back at the same moment.
        """
        if self._watch():
            self._failures = 0
            return
        self._failures += 1
        self._metrics.incr("config.store_failures")
        self._clock.sleep(self._pause_s())

    def catch_up(self, at_once: bool = True) -> Result[StoredHead, StoreError]:
        """Read the head and take it, `at_once` or after other VMs had a chance to."""
        read = self._repository.read_head()
        if read.is_ok():
            self._contacts.heard_store()
            self._take(read.ok_value, at_once)
        return read

    def _pause_s(self) -> float:
        options = self._options
        longest = min(options.retry_min_s * 2**self._failures, options.retry_max_s)
        return self._rng.uniform(options.retry_min_s, max(longest, options.retry_min_s))

    def _watch(self) -> bool:
        if self._republisher.is_due:
            return self._republish()
        # A watch may wait long, so after a failure a read first tells that the
        # store is back.
        if self._failures and self.catch_up(at_once=False).is_err():
            return False
        wait_s = self._republisher.wait_s(self._options.watch_timeout_s)
        watched = self._repository.store.watch(HEAD_KEY, self._after, wait_s)
        if watched.is_err():
            return False
        self._contacts.heard_store()
        return self._take_batch(watched.ok_value)

    def _republish(self) -> bool:
        """Write to an older store, unless it has caught up meanwhile."""
        read = self._repository.read_head()
        if read.is_err():
            return False
        self._contacts.heard_store()
        if read.ok_value.head.revision >= self._holder.revision:
            return self._take(read.ok_value)
        return self._republisher.republish(read.ok_value)

    def _take_batch(self, batch: WatchBatch) -> bool:
        if batch.revision < self._after:
            # The store itself went back, so its head must be read afresh.
            read = self._repository.read_head()
            if read.is_err() or not self._take(read.ok_value):
                return False
            self._after = batch.revision
            return True
        if not batch.events and self._holder.revision > self._stored_revision:
            # What peers pushed here should be in the store by now. A store that
            # went back before this watch saw the change shows no other sign.
            self._after = batch.revision
            return self.catch_up(at_once=False).is_ok()
        for event in batch.events:
            if event.key == HEAD_KEY and not self._take_event(event):
                return False
        self._after = batch.revision
        return True

    def _take_event(self, event: WatchEvent) -> bool:
        if event.value is None:
            return self.catch_up(at_once=False).is_ok()
        parsed = parse_head(event.value, event.revision)
        if parsed.is_err():
            self._log.decision(
                "config-head", HEAD_KEY, "unreadable", detail=parsed.err_value.detail
            )
            return False
        return self._take(parsed.ok_value)

    def _take(self, stored: StoredHead, at_once: bool = False) -> bool:
        held = self._holder.state
        self._stored_revision = stored.head.revision
        if stored.head.revision < held.revision:
            self._republisher.note_older(stored.head)
            return True
        self._republisher.clear()
        if stored.head.revision == held.revision:
            self._check_fork(stored, held)
            return True
        if not at_once:
            self._let_peers_be_first(stored)
        return self._load(stored)

    def _load(self, stored: StoredHead) -> bool:
        if self._holder.revision >= stored.head.revision:
            return True
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_err():
            # A chunk may be gone because the head has moved on; look again.
            self._after = 0
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
            self._on_news()
        return True

    def _let_peers_be_first(self, stored: StoredHead) -> None:
        """Pause, so that few VMs read the chunks and the others get them pushed.

        All watches end at once, and a fleet that starts needs all chunks on each
        VM, so the store would see every VM read the same.
        """
        options = self._options
        missing = len(self._holder.state.missing(stored.head))
        if missing <= options.small_load_chunks:
            self._clock.sleep(self._rng.uniform(0.0, options.load_jitter_s))
            return
        deadline = self._clock.now() + options.large_load_wait_s
        self._clock.sleep(self._rng.uniform(0.0, options.large_load_jitter_s))
        while self._peers_have(stored) and self._clock.now() < deadline:
            self._clock.sleep(options.pull_period_s)

    def _peers_have(self, stored: StoredHead) -> bool:
        """Return whether pulls will bring the revision of `stored`."""
        if self._holder.revision >= stored.head.revision:
            return False
        known = self._contacts.fleet_revision >= stored.head.revision
        return known and self._contacts.peer_age_s() < self._options.lonely_after_s

    def _check_fork(self, stored: StoredHead, held: ConfigState) -> None:
        if stored.head.root() == held.root:
            return
        self._metrics.incr("config.forks")
        self._log.decision(
            "config-fork",
            str(held.revision),
            "the store holds another content under the same revision",
            stored_plan=stored.head.plan_id,
            held_plan=held.head.plan_id,
        )
