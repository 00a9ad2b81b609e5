"""Distributes revisions to all VMs.

Some VMs, or in a small fleet all, watch the store. Each VM pushes a new revision to
its neighbours, and periodic pulls repair lost pushes.
"""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event
from result import Result

from lacewingpond.config.contact_times import ContactTimes
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.isolation import IsolationDetector
from lacewingpond.config.messages import (
    ConfigNews,
    ConfigPull,
    ConfigPush,
    WireStep,
    wire_steps,
)
from lacewingpond.config.neighbours import Neighbours
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.peer_server import ConfigPeerServer
from lacewingpond.config.peer_source import PeerSource
from lacewingpond.config.repository import ConfigRepository, StoredHead
from lacewingpond.config.store_watch import StoreWatch
from lacewingpond.membership.base import MembershipView
from lacewingpond.peers.base import Message, PeerChannel
from lacewingpond.store.base import StoreError, VmRecord
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

PULL_JITTER_RATIO = 0.2
"""Largest random change of the pull period, as a share of it."""

RECENT_PULL_PERIODS = 4.0
"""VMs that sent a message within so many pull periods get pushes too."""


class ConfigDistributor:
    """Keeps the configuration of this VM up to date.

    Parameters
    ----------
    vm : VmRecord
        This VM.
    holder : ConfigHolder
        Current revision of this VM; new ones are applied to it.
    repository : ConfigRepository
        Reads and writes the store.
    channel : PeerChannel
        Carries messages to and from the other VMs.
    membership : MembershipView
        The live VMs.
    listed_count : callable
        Returns the number of other VMs in the platform's list as last read.
    options : ConfigOptions
        Periods and bounds.
    clock, rng, log, metrics
        Time, jitter, decision log and counters.

    Attributes
    ----------
    contacts : ContactTimes
        Times of the last contacts with the store and other VMs.
    isolation : IsolationDetector
        Detects that this VM is cut off.
    """

    __slots__ = ("contacts", "isolation", "_holder", "_channel", "_membership")
    __slots__ += ("_options", "_clock", "_rng", "_log", "_metrics", "_neighbours")
    __slots__ += (
        "_server",
        "_watch",
        "_neighbours_chosen_at",
        "_pull_count",
        "_pull_next_from",
        "_wake",
        "_greenlets",
    )

    def __init__(
        self,
        vm: VmRecord,
        holder: ConfigHolder,
        repository: ConfigRepository,
        channel: PeerChannel,
        membership: MembershipView,
        listed_count: Callable[[], int],
        options: ConfigOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.contacts = ContactTimes(clock)
        self.isolation = IsolationDetector(
            self.contacts, membership, listed_count, options, clock, log
        )
        self._holder = holder
        self._channel = channel
        self._membership = membership
        self._options = options
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._neighbours = Neighbours(vm, options)
        self._server = ConfigPeerServer(holder, self.contacts, self.isolation)
        self._watch = StoreWatch(
            repository,
            holder,
            self.contacts,
            self.announce,
            options,
            clock,
            rng,
            log,
            metrics,
        )
        self._neighbours_chosen_at = float("-inf")
        self._pull_count = 0
        self._pull_next_from: str | None = None
        self._wake = Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._server.register(channel)
        channel.register(ConfigPush, self._on_push)
        channel.register(ConfigPull, self._on_pull)

    def start(self) -> None:
        """Start the watch of the store and the pulls, each in a greenlet."""
        self._greenlets = [
            gevent.spawn(self._run_watch),
            gevent.spawn(self._run_pulls),
        ]

    def stop(self) -> None:
        """Kill both greenlets."""
        gevent.killall(self._greenlets)
        self._greenlets = []

    def is_isolated(self) -> bool:
        """Return whether this VM must refuse requests to routes that need a key."""
        return self.isolation.is_isolated()

    def fleet_revision(self) -> int:
        """Return the highest revision known to this VM."""
        return max(self._holder.revision, self.contacts.fleet_revision)

    def catch_up(self) -> Result[StoredHead, StoreError]:
        """Read the head from the store now, apply it if newer, and return it."""
        return self._watch.catch_up()

    def announce(self, exclude: str | None = None) -> None:
        """Push the current revision to the neighbours and to recent contacts.

        Parameters
        ----------
        exclude : str or None
            VM that the revision came from, which gets no push.
        """
        revision = self._holder.revision
        self._metrics.gauge("config.revision", revision)
        message = ConfigPush(
            revision,
            wire_steps(self._holder.steps_after(revision - 1)),
            self.contacts.store_age_s(),
        )
        recent = self.contacts.peers_seen_within(
            RECENT_PULL_PERIODS * self._options.pull_period_s
        )
        count = len(self._neighbours.chosen)
        for vm_id in dict.fromkeys((*self._neighbours.chosen, *recent[:count])):
            if vm_id != exclude:
                self._channel.send(vm_id, message)

    def watch_once(self) -> None:
        """Watch the store once, or sleep if this VM does not have to watch it."""
        self._update_neighbours()
        if self._neighbours.watches or self._has_no_peer_contact():
            self._watch.step()
        else:
            self._clock.sleep(self._options.role_check_s)

    def pull_once(self) -> None:
        """Pull newer revisions once, if possible from a VM known to have some."""
        self._update_neighbours()
        vm_id = self._next_peer()
        if vm_id is None:
            return
        pull = ConfigPull(self._holder.revision, self.contacts.store_age_s())
        response = self._channel.call(vm_id, pull, self._options.pull_timeout_s)
        if response.is_err() or not isinstance(response.ok_value, ConfigNews):
            self._metrics.incr("config.pull_failures")
            return
        news = response.ok_value
        self.contacts.record_peer_message(vm_id, news.revision, news.store_age_s)
        if news.revision > self._holder.revision:
            self._apply_news(vm_id, news)

    def _run_watch(self) -> None:
        while True:
            self._run_logged("watch", self.watch_once)

    def _run_pulls(self) -> None:
        while True:
            self._run_logged("pull", self.pull_once)
            period_s = self._options.pull_period_s
            varied_s = period_s * (
                1.0 + PULL_JITTER_RATIO * (2.0 * self._rng.random() - 1.0)
            )
            if wait_for(self._wake, self._clock, varied_s):
                self._wake.clear()

    def _run_logged(self, name: str, action: Callable[[], None]) -> None:
        """Run `action`; log an exception and pause, as it must not end the loop."""
        try:
            action()
        except Exception as exc:  # noqa: BLE001
            self._metrics.incr("config.faults")
            self._log.decision("config-fault", name, "a step failed", detail=repr(exc))
            self._clock.sleep(self._options.retry_max_s)

    def _update_neighbours(self) -> None:
        """Choose neighbours from the live VMs, every `neighbours_period_s` at most."""
        now = self._clock.now()
        fresh = now - self._neighbours_chosen_at < self._options.neighbours_period_s
        if fresh and self._neighbours.chosen:
            return
        self._neighbours_chosen_at = now
        self._neighbours.update(self._membership.live())

    def _has_no_peer_contact(self) -> bool:
        return self.contacts.peer_age_s() >= self._options.lonely_after_s

    def _next_peer(self) -> str | None:
        """Return a VM known to have a newer revision, else the next neighbour."""
        if self._pull_next_from is not None:
            vm_id, self._pull_next_from = self._pull_next_from, None
            return vm_id
        chosen = self._neighbours.chosen
        if not chosen:
            return None
        self._pull_count += 1
        return chosen[self._pull_count % len(chosen)]

    def _apply_news(self, vm_id: str, news: ConfigNews) -> None:
        """Apply the steps in `news`, or load the revision as chunks; announce it."""
        before = self._holder.revision
        if not self._apply_steps(news.steps):
            self._load_from(vm_id)
        if self._holder.revision > before:
            self._log.decision(
                "config-apply", str(self._holder.revision), "pulled", source=vm_id
            )
            self.announce(exclude=vm_id)

    def _apply_steps(self, steps: tuple[WireStep, ...]) -> bool:
        """Apply `steps` in order; return whether the current revision changed.

        Steps that don't follow the current revision are skipped. Stops at a step whose
        result differs from the sender's and returns False, even if earlier steps were
        applied.
        """
        applied = False
        for step in steps:
            state = self._holder.state
            if step.revision != state.revision + 1:
                continue
            later = state.with_changes(step.changes, step.plan_id)
            if later.root != step.root:
                self._metrics.incr("config.root_mismatches")
                return False
            applied = self._holder.replace(later) or applied
        return applied

    def _load_from(self, vm_id: str) -> None:
        source = PeerSource(self._channel, vm_id, self._options.pull_timeout_s)
        head = source.read_head()
        if head.is_err() or head.ok_value.revision <= self._holder.revision:
            return
        loaded = self._holder.state.load(head.ok_value, source.read_chunks)
        if loaded.is_ok():
            self._holder.replace(loaded.ok_value)
        else:
            self._log.decision(
                "config-load",
                vm_id,
                "not loaded from this peer",
                detail=loaded.err_value,
            )

    def _on_push(self, sender: str, message: ConfigPush) -> None:
        self.contacts.record_peer_message(sender, message.revision, message.store_age_s)
        if message.revision <= self._holder.revision:
            return
        if self._apply_steps(message.steps):
            self._log.decision(
                "config-apply", str(self._holder.revision), "pushed", source=sender
            )
            self.announce(exclude=sender)
        if message.revision > self._holder.revision:
            self._pull_soon(sender)

    def _on_pull(self, sender: str, message: ConfigPull) -> Message:
        """Return the steps that the sender lacks; pull from a sender that is newer."""
        self.contacts.record_peer_message(sender, message.revision, message.store_age_s)
        if message.revision > self._holder.revision:
            self._pull_soon(sender)
        return ConfigNews(
            self._holder.revision,
            wire_steps(self._holder.steps_after(message.revision)),
            self.contacts.store_age_s(),
        )

    def _pull_soon(self, vm_id: str) -> None:
        self._pull_next_from = vm_id
        self._wake.set()
