"""Keeps the store cache up to date, from the store or from peers.

In each failure domain one or two daemons watch the store (watchers); the others pull
changes from one of them, the followed peer. There is no election: a daemon whose proof
of freshness grows too old starts to watch, which replaces a lost watcher within a
second or two. A watcher that stops, or that the store does not answer in time, asks its
followers to watch at once.
"""

import random
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event
from result import Result

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.peers.channel import MAX_DATAGRAM_BYTES, DatagramChannel
from lacewingpond.entry.peers.messages import (
    ChangesRequest,
    ChangesResponse,
    WatcherNotice,
    encode,
)
from lacewingpond.entry.peers.stream import fetch_changes
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_latency import StoreLatency
from lacewingpond.entry.store_view import StoreView
from lacewingpond.store.base import (
    NO_ERA,
    Listing,
    ListingStore,
    StoreEntry,
    StoreError,
    StoreFailure,
    StorePosition,
    WatchBatch,
)
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running
from lacewingpond.util.waiting import wait_for

WATCH_TIMEOUT_S = 0.6  # with the pause, half of the shortest bound for a change
WATCH_PAUSE_S = 0.4  # targets write 20 times a second; 1/5 of the drain bound
PULL_INTERVAL_S = 0.4  # three pulls may be lost within the bound for a drain notice
PULL_TIMEOUT_S = 0.15  # peers respond within 2 ms
# Age of its proof at which a daemon starts to watch:
TAKEOVER_AGE_S = 1.6  # proofs from a watcher are at most 1.55 s old
LOST_PEER_AGE_S = 0.8  # the watcher does not respond
TAKEOVER_SPREAD_S = 0.6  # keeps the daemons of a domain from starting together
HANDOVER_SPREAD_S = 0.3  # as the watcher hands over, when proofs may be 1.4 s old
LISTING_OVERDUE_S = 0.5  # of several pages
FOLLOWER_MEMORY_S = 2.0  # several pulls
FIRST_RETRY_S = 0.5  # pause after a failed store call; doubles with each failure
MAX_RETRY_S = 1.0  # half of the bounds for applying changes
MAX_RECONNECT_S = 0.1  # longest pause after the connection of a watch was closed


class Follower:
    """Watches the store or pulls from a peer that does.

    Parameters
    ----------
    store : ListingStore
        The platform's store.
    cache : StoreCache
        Receives the changes.
    freshness : Freshness
        Receives the proofs that the cache is up to date.
    view : StoreView
        Receives contacts with the store, and its changes of era.
    fleet : Fleet
        Chooses peers.
    channel : DatagramChannel
        Exchanges messages with them.
    clock : Clock
        Measures and waits.
    rng : random.Random
        Spreads takeovers and retries.
    log : DecisionLog
        Log of failures and of changes of the source, which is the store or a peer.

    Attributes
    ----------
    watching : bool
        Whether this daemon watches the store.
    """

    __slots__ = ("watching", "_store", "_cache", "_freshness", "_view", "_fleet")
    __slots__ += ("_channel", "_clock", "_rng", "_log", "_followed_peer", "_newer_peer")
    __slots__ += ("_wake", "_retry_at", "_retry_s", "_store_reachable", "_greenlets")
    __slots__ += ("_takeover_age_s", "_other_watcher", "_has_listing", "_leaving")
    __slots__ += ("_announced", "_overdue", "_call_count", "_latency", "_pulled_at")

    def __init__(
        self,
        store: ListingStore,
        cache: StoreCache,
        freshness: Freshness,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.watching = False
        self._store = store
        self._cache = cache
        self._freshness = freshness
        self._view = view
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._followed_peer: str | None = None
        self._newer_peer: str | None = None
        self._wake = Event()
        self._retry_at = float("-inf")
        self._retry_s = FIRST_RETRY_S
        self._store_reachable = True
        self._has_listing = False
        self._leaving = False
        # Whether peers have been told that this daemon watches.
        self._announced = False
        # Whether the present call to the store takes longer than expected.
        self._overdue = False
        self._call_count = 0
        self._latency = StoreLatency()
        self._pulled_at: dict[str, float] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._takeover_age_s = self._draw_takeover_age()
        self._other_watcher: str | None = None
        freshness.on_proof_needed(self._wake.set)
        channel.register(ChangesRequest, self._on_request)
        channel.register(WatcherNotice, self._on_notice)

    def start(self) -> None:
        """Start to list the store and to follow its changes."""
        self._greenlets = [
            gevent.spawn(keep_running, name, loop, self._clock, self._log)
            for name, loop in (
                ("follow-peers", self._follow_peers),
                ("follow-store", self._follow_store),
            )
        ]

    def stop(self) -> None:
        """Stop following changes."""
        gevent.killall(self._greenlets)

    def catch_up(self, vm_id: str) -> None:
        """Pull changes at once from a peer that has shown that it knows more."""
        address = self._fleet.address(vm_id)
        if address is not None:
            self._newer_peer = address
            self._wake.set()

    def hand_over_watch(self) -> None:
        """Ask the followers to take over the watch, before a planned stop.

        Until `stop`, a daemon that watches goes on but no longer announces it.
        """
        self._leaving = True
        if self.watching:
            self._ask_for_takeover()

    def changes_for(
        self, request: ChangesRequest, max_bytes: int | None = None
    ) -> ChangesResponse:
        """Return the response to a peer's request for changes.

        A peer gets all keys if it is in an earlier era, or if removals after its
        revision may be unknown here; nothing if its build does not take all keys then.
        A response of more than `max_bytes` is returned without its events, as
        incomplete.
        """
        cache = self._cache
        events, is_listing = None, False
        takes_listing = request.era != NO_ERA
        if cache.is_same_era(request.era):
            events = cache.changes_since(request.after_revision, request.seen_until)
            takes_listing = takes_listing or request.seen_until > 0
        if events is None and takes_listing:
            events, is_listing = cache.all_entries(), True
        elif events is not None:
            events += cache.states_of(request.late_keys)
        changes = ChangesResponse(
            request.number,
            cache.position.revision,
            self._freshness.age_s,
            self.watching and not self._leaving and not self._overdue,
            events is not None,
            events or (),
            cache.position.era,
            is_listing,
            cache.complete_from,
            cache.late_keys,
        )
        if max_bytes is not None and len(encode(changes)) > max_bytes:
            return msgspec.structs.replace(changes, complete=False, events=())
        return changes

    def _follow_store(self) -> None:
        while True:
            if not self._has_listing:
                self._list()
            elif self._should_watch():
                self._watch()
            else:
                self._clock.sleep(PULL_INTERVAL_S / 4)

    def _should_watch(self) -> bool:
        """Return whether to watch; become a watcher if the proof is too old."""
        if self.watching:
            return True
        if self._clock.now() < self._retry_at:
            return False
        if self._freshness.age_s < self._takeover_age_s:
            return False
        self._takeover_age_s = self._draw_takeover_age()
        self.watching = True
        self._other_watcher = None
        self._log.decision("source", "store", "no fresh peer")
        return True

    def _watch(self) -> None:
        """Watch the store once, apply its changes and announce the revision to peers.

        Stops watching after a failure, or if a watcher with a lower VM id was found.
        """
        # A proof is dated by the start of its call, so waiting for events makes it
        # older. Without a recent proof the call returns at once.
        wait_s = WATCH_TIMEOUT_S if self._freshness.age_s < WATCH_TIMEOUT_S * 2 else 0.0
        called_at = self._clock.boot()
        batch = self._call_watch(wait_s)
        lost = _lost_connection(batch)
        if lost is not None:
            # The store may be up: it may close the connection of a waiting watch, and
            # an open connection may fall silent.
            waited_s = round(self._clock.boot() - called_at, 3)
            self._log.decision("store", "watch", lost.value, waited_s=waited_s)
            if lost is StoreFailure.DISCONNECTED:
                self._clock.sleep(self._rng.uniform(0.0, MAX_RECONNECT_S))
            called_at = self._clock.boot()
            batch = self._call_watch(0.0)
        if batch.is_err():
            failure = batch.err_value.failure
            if failure is StoreFailure.COMPACTED:
                self._log.decision(
                    "store",
                    "history",
                    "compacted; listing all keys",
                    after=self._cache.position.revision,
                )
                self._list_again()
                return
            self._record_store_failure(str(batch.err_value.detail))
            return
        changes = batch.ok_value
        if not self._is_trusted(changes.era):
            return
        self._view.record_contact(called_at, "store")
        if not self._cache.apply(changes.events, changes.position):
            # The store came back from an older copy, whose changes need a listing.
            self._list_again()
            return
        self._record_store_success()
        self._freshness.record_proof(called_at, "store")
        if not self._leaving:
            # Also sent without events, so that watchers discover one another.
            self._channel.broadcast(self._fleet.domain_peers(), self._notice())
            self._announced = True
        if changes.events or lost is not None:
            self._clock.sleep(WATCH_PAUSE_S)
        if self._other_watcher is not None:
            self._log.decision(
                "source", self._other_watcher, "already watches the store"
            )
            self._followed_peer, self._other_watcher = self._other_watcher, None
            self.watching = self._announced = False

    def _call_watch(self, wait_s: float) -> Result[WatchBatch, StoreError]:
        called_at = self._clock.now()
        due_s = self._latency.due_s(wait_s)
        revision = self._cache.position.revision
        batch = self._call(due_s, lambda: self._store.watch("", revision, wait_s))
        if batch.is_ok():
            self._latency.observe(self._clock.now() - called_at, wait_s)
        return batch

    def _call(self, due_s: float, call: Callable[[], Result]) -> Result:
        """Make a call to the store; hand the watch over while it is overdue."""
        timer = gevent.spawn(self._hand_over_overdue, due_s, self._call_count)
        try:
            return call()
        finally:
            timer.kill(block=False)
            self._call_count += 1
            self._overdue = False

    def _hand_over_overdue(self, due_s: float, number: int) -> None:
        """Let followers take over the watch if call `number` is not done after `due_s`.

        Their proofs are too old by the time at which the call fails.
        """
        self._clock.sleep(due_s)
        if number != self._call_count:
            # It ended at this moment.
            return
        self._overdue = True
        self._wake.set()
        if self._announced:
            self._log.decision("source", "store", "overdue", due_s=round(due_s, 3))
            self._ask_for_takeover()

    def _ask_for_takeover(self) -> None:
        """Ask the peers that may follow this daemon to watch the store themselves."""
        since = self._clock.now() - FOLLOWER_MEMORY_S
        followers = {peer for peer, at in self._pulled_at.items() if at > since}
        followers.update(self._fleet.domain_peers())
        self._channel.broadcast(sorted(followers), self._notice(leaving=True))

    def _list(self) -> None:
        """List all keys and apply them; after a failure wait until the next retry."""
        called_at = self._clock.boot()
        listing = self._call(LISTING_OVERDUE_S, lambda: self._store.listing(""))
        if listing.is_err():
            self._record_store_failure(str(listing.err_value.detail))
            self._clock.sleep(max(self._retry_at - self._clock.now(), 0.0))
            return
        if not self._is_trusted(listing.ok_value.era):
            self._clock.sleep(max(self._retry_at - self._clock.now(), 0.0))
            return
        self._record_store_success()
        self._has_listing = True
        self._view.record_contact(called_at, "store")
        self._apply_listing(listing.ok_value, "store")
        self._freshness.record_proof(called_at, "store")

    def _list_again(self) -> None:
        """List all keys, as their changes are lost; pause, as that may not help."""
        self._list()
        self._clock.sleep(WATCH_PAUSE_S)

    def _is_trusted(self, era: int) -> bool:
        """Return whether an answer of the store may be applied; else a call failed.

        One of an earlier era, or without an era where earlier ones stated it, is not.
        """
        known = self._cache.position.era
        if era >= known:
            return True
        self._log.decision("store", "era", "not trusted", known=known, stated=era)
        self._record_store_failure(f"era {era} after {known}")
        return False

    def _apply_listing(
        self, listing: Listing, source: str, late_keys: tuple[str, ...] = ()
    ) -> None:
        """Apply all keys of the store, which may begin a new era."""
        cache = self._cache
        before = cache.position
        if cache.begins_era(listing):
            self._view.record_new_era()
        cache.apply_listing(listing, late_keys)
        if cache.position.era != before.era:
            self._log.decision(
                "era",
                str(listing.era),
                source,
                before=before.era,
                revision=listing.revision,
                revision_before=before.revision,
            )

    def _notice(self, leaving: bool = False) -> WatcherNotice:
        position = self._cache.position
        return WatcherNotice(position.revision, leaving, position.era)

    def _record_store_success(self) -> None:
        self._retry_s = FIRST_RETRY_S
        if not self._store_reachable:
            self._store_reachable = True
            self._log.decision("store", "reachable", "answers again")

    def _record_store_failure(self, why: str) -> None:
        """Stop watching after a failed store call, and set the time of the next one."""
        if self._announced:
            self._ask_for_takeover()
        self.watching = self._announced = False
        pause_s = self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_at = self._clock.now() + pause_s
        self._retry_s = min(self._retry_s * 2.0, MAX_RETRY_S)
        if self._store_reachable:
            self._store_reachable = False
            self._log.decision("store", "unreachable", why)

    def _follow_peers(self) -> None:
        while True:
            # A notice of a newer revision ends the wait.
            wait_for(self._wake, self._clock, PULL_INTERVAL_S)
            self._wake.clear()
            if not self._has_listing:
                continue
            if self._gets_changes_itself() and self._newer_peer is None:
                continue
            newer_peer, self._newer_peer = self._newer_peer, None
            self._pull(
                newer_peer or self._followed_peer or self._fleet.choose_peer_to_follow()
            )

    def _gets_changes_itself(self) -> bool:
        """Return whether this daemon watches the store, which answers it in time."""
        return self.watching and not self._overdue and self._freshness.is_fresh

    def _pull(self, address: str | None) -> None:
        """Request changes and their proof from a peer; follow it if it is a watcher."""
        if address is None:
            return
        called_at = self._clock.boot()
        # A stream needs no number to pair the response with the request.
        request = self._changes_request(0)
        changes = self._channel.call(address, self._changes_request, PULL_TIMEOUT_S)
        if changes is not None:
            self._fleet.record_message(address)
            if not changes.complete:
                changes = self._fetch_over_tcp(address, request)
        if changes is None or not changes.complete:
            self._drop_followed_peer(address, LOST_PEER_AGE_S, "no answer")
            return
        proved_at = called_at - changes.proof_age_s
        self._view.record_contact(proved_at, address)
        if not self._apply_changes(changes, address):
            self._drop_followed_peer(address, LOST_PEER_AGE_S, "in an earlier era")
            return
        self._freshness.record_proof(proved_at, address)
        if changes.from_watcher:
            self._followed_peer = address
            self._takeover_age_s = max(self._takeover_age_s, TAKEOVER_AGE_S)
        elif self._followed_peer == address:
            # Daemons that pull only from one another would all become stale.
            self._followed_peer = None

    def _changes_request(self, number: int) -> ChangesRequest:
        cache = self._cache
        return ChangesRequest(
            number,
            cache.position.revision,
            cache.position.era,
            cache.seen_until,
            cache.late_keys,
        )

    def _apply_changes(self, changes: ChangesResponse, source: str) -> bool:
        """Apply what a peer has sent; return False if it is in an earlier era."""
        if not changes.is_listing:
            position = StorePosition(changes.era, changes.revision)
            return self._cache.apply_peer_changes(
                changes.events, position, changes.complete_from, changes.late_keys
            )
        if self._cache.is_earlier_era(changes.era):
            return False
        entries = tuple(
            StoreEntry(event.key, event.value, event.revision)
            for event in changes.events
            if event.value is not None
        )
        last_revision = changes.complete_from
        listing = Listing(entries, changes.revision, changes.era, last_revision)
        self._apply_listing(listing, source, changes.late_keys)
        return True

    def _fetch_over_tcp(
        self, address: str, request: ChangesRequest
    ) -> ChangesResponse | None:
        try:
            return fetch_changes(address, request)
        except (OSError, msgspec.MsgspecError) as exc:
            self._log.decision("news", address, f"changes not fetched: {exc}")
            return None

    def _drop_followed_peer(
        self, address: str, takeover_age_s: float, why: str
    ) -> None:
        """Drop `address` if it is the followed peer, and draw a new takeover age."""
        if self._followed_peer == address:
            self._followed_peer = None
            self._takeover_age_s = self._draw_takeover_age(takeover_age_s)
            self._log.decision("source", address, why)

    def _take_over_from(self, address: str) -> None:
        """Drop `address` if it is the followed peer, and watch soon without another."""
        if self._followed_peer == address:
            self._followed_peer = None
            spread_s = self._rng.uniform(0.0, HANDOVER_SPREAD_S)
            self._takeover_age_s = self._freshness.age_s + spread_s
            self._log.decision("source", address, "hands over")

    def _record_pull(self, sender: str) -> None:
        now = self._clock.now()
        self._pulled_at.pop(sender, None)
        self._pulled_at[sender] = now
        # Ordered by time, so that the first ones are the oldest.
        while now - next(iter(self._pulled_at.values())) > FOLLOWER_MEMORY_S:
            del self._pulled_at[next(iter(self._pulled_at))]

    def _on_request(self, request: ChangesRequest, sender: str) -> None:
        self._fleet.record_message(sender)
        self._record_pull(sender)
        self._channel.send(sender, self.changes_for(request, MAX_DATAGRAM_BYTES))

    def _on_notice(self, notice: WatcherNotice, sender: str) -> None:
        """Follow a watcher that announces itself; take over from one that asks for it.

        One asks for it before it stops, and while the store does not answer it.
        """
        vm_id = self._fleet.record_message(sender)
        if notice.leaving:
            if self._other_watcher == sender:
                self._other_watcher = None
            self._take_over_from(sender)
            return
        # Of two watchers, the one with the lower id goes on.
        if self.watching and vm_id is not None and vm_id < self._fleet.vm_id:
            self._other_watcher = sender
        if not self.watching and not self._cache.is_earlier_era(notice.era):
            self._followed_peer = sender
        if self._cache.is_behind(StorePosition(notice.era, notice.revision)):
            self._newer_peer = sender
            self._wake.set()

    def _draw_takeover_age(self, min_age_s: float = TAKEOVER_AGE_S) -> float:
        return min_age_s + self._rng.uniform(0.0, TAKEOVER_SPREAD_S)


def _lost_connection(batch: Result[WatchBatch, StoreError]) -> StoreFailure | None:
    """Return how a watch has lost its connection; None if it has not."""
    if batch.is_ok():
        return None
    failure = batch.err_value.failure
    lost = (StoreFailure.DISCONNECTED, StoreFailure.TIMED_OUT)
    return failure if failure in lost else None
