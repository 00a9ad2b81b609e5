"""Learns new revisions from the store, and mends a store that came back older."""

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
from lacewingpond.config.state import ConfigState
from lacewingpond.store.base import StoreError, StoreFailure, WatchBatch
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
    __slots__ += ("_republish_at", "_older")

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
        self._failures = 0
        self._republish_at: float | None = None
        self._older: StoredHead | None = None

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
        if self._republish_at is not None and self._republish_at <= self._clock.now():
            return self._republish()
        # A watch may wait long, so after a failure a read first tells that the
        # store is back.
        if self._failures and self.catch_up(at_once=False).is_err():
            return False
        watched = self._repository.store.watch(HEAD_KEY, self._after, self._wait_s())
        if watched.is_err():
            return False
        self._contacts.heard_store()
        return self._take_batch(watched.ok_value)

    def _wait_s(self) -> float:
        if self._republish_at is None:
            return self._options.watch_timeout_s
        left_s = self._republish_at - self._clock.now()
        return min(max(left_s, 0.0), self._options.watch_timeout_s)

    def _take_batch(self, batch: WatchBatch) -> bool:
        if batch.revision < self._after:
            # The store itself went back, so its head must be read afresh.
            read = self._repository.read_head()
            if read.is_err() or not self._take(read.ok_value):
                return False
            self._after = batch.revision
            return True
        for event in batch.events:
            if event.key == HEAD_KEY and not self._take_value(event.value, event):
                return False
        self._after = batch.revision
        return True

    def _take_value(self, value: bytes | None, event: object) -> bool:
        if value is None:
            return self.catch_up(at_once=False).is_ok()
        parsed = parse_head(value, event.revision)
        if parsed.is_err():
            self._log.decision(
                "config-head", HEAD_KEY, "unreadable", detail=parsed.err_value.detail
            )
            return False
        return self._take(parsed.ok_value)

    def _take(self, stored: StoredHead, at_once: bool = False) -> bool:
        held = self._holder.state
        if stored.head.revision < held.revision:
            self._note_older(stored)
            return True
        self._republish_at = None
        self._older = None
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

    def _note_older(self, stored: StoredHead) -> None:
        self._older = stored
        if self._republish_at is not None:
            return
        wait_s = self._options.republish_after_s * (1.0 + self._rng.random())
        self._republish_at = self._clock.now() + wait_s
        self._metrics.incr("config.store_older")
        self._log.decision(
            "config-store-older",
            str(stored.head.revision),
            "the store came back older; the newer revision stays in force",
            held=self._holder.revision,
        )

    def _republish(self) -> bool:
        """Write the newer revision to the store again, so that it never reverts."""
        read = self._repository.read_head()
        if read.is_err():
            return False
        self._republish_at = None
        self._contacts.heard_store()
        stored, state = read.ok_value, self._holder.state
        if stored.head.revision >= state.revision:
            return self._take(stored)
        self._report_lost_plans(stored, state)
        refs = tuple(ref for ref in state.head.chunks)
        missing = set(refs) - set(stored.head.chunks)
        written = self._repository.write_chunks(state, tuple(sorted(missing)))
        if written.is_ok():
            written = self._repository.write_head(state.head, stored.store_revision)
        return self._end_republish(written, stored)

    def _report_lost_plans(self, stored: StoredHead, state: ConfigState) -> None:
        known = set(state.head.history)
        for confirmed in stored.head.history:
            if confirmed in known or confirmed.revision > state.revision:
                continue
            if state.head.remembers(confirmed.revision):
                self._metrics.incr("config.forks")
                self._log.decision(
                    "config-fork",
                    str(confirmed.revision),
                    "a plan accepted by the older store is replaced",
                    plan=confirmed.plan_id,
                )

    def _end_republish(
        self, written: Result[object, StoreError], stored: StoredHead
    ) -> bool:
        if written.is_ok():
            self._metrics.incr("config.republished")
            self._log.decision(
                "config-republish",
                str(self._holder.revision),
                "written again to a store that came back older",
                found=stored.head.revision,
            )
            return True
        if written.err_value.failure is StoreFailure.CONFLICT:
            # Another VM was first; the watch shows what it wrote.
            return True
        self._republish_at = self._clock.now() + self._options.republish_after_s
        return False
