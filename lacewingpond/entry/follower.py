"""Keeps this VM's knowledge up to date, from the store or from peers.

In each failure domain one daemon or two watch the store; the others ask them. A
daemon that finds no fresh source watches the store itself, so nobody is elected and
the loss of any daemon is made up for within a second or two.
"""

import random

import gevent
import msgspec
from gevent.event import Event

from lacewingpond.entry.catalog import Catalog
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.peers.channel import MAX_DATAGRAM_BYTES, PeerChannel
from lacewingpond.entry.peers.messages import Hint, News, NewsAsk, encode
from lacewingpond.entry.peers.stream import fetch_news
from lacewingpond.entry.world import World
from lacewingpond.store.base import ListingStore, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running
from lacewingpond.util.waiting import wait_for

WATCH_S = 0.6  # with the pause, half of the shortest bound for a change
WATCH_PAUSE_S = 0.4  # targets write 20 times a second; a fifth of the drain bound
ASK_PERIOD_S = 0.4  # three questions may be lost within the bound of a drain notice
ASK_TIMEOUT_S = 0.15  # peers answer within 2 ms
TAKE_OVER_S = 1.6  # above the age of proofs from a daemon that watches, 1.55 s
HANDED_OVER_S = 0.0  # the daemon that watched leaves; somebody starts at once
LOST_SOURCE_S = 0.8  # as before, when the daemon that watched does not answer
TAKE_OVER_SPREAD_S = 0.6  # keeps the daemons of a domain from starting together
RETRY_S = 0.5  # first pause after a call that failed
MAX_RETRY_S = 2.0  # below the bounds for applying changes


class Follower:
    """Watches the store or follows a peer that does.

    Parameters
    ----------
    store : ListingStore
        The platform's store.
    catalog : Catalog
        Takes what is learned.
    freshness : Freshness
        Takes the proofs.
    world : World
        Is told of outages.
    fleet : Fleet
        Chooses peers.
    channel : PeerChannel
        Asks them.
    clock : Clock
        Measures and waits.
    rng : random.Random
        Spreads take-overs.
    log : DecisionLog
        Takes changes of source.
    """

    __slots__ = ("watching", "_store", "_catalog", "_freshness", "_world", "_fleet")
    __slots__ += ("_channel", "_clock", "_rng", "_log", "_source", "_hint", "_wake")
    __slots__ += ("_retry_at", "_retry_s", "_reachable", "_greenlets", "_patience_s")
    __slots__ += ("_yielded_to", "_listed", "_leaving")

    def __init__(
        self,
        store: ListingStore,
        catalog: Catalog,
        freshness: Freshness,
        world: World,
        fleet: Fleet,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.watching = False
        self._store = store
        self._catalog = catalog
        self._freshness = freshness
        self._world = world
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._source: str | None = None
        self._hint: str | None = None
        self._wake = Event()
        self._retry_at = float("-inf")
        self._retry_s = RETRY_S
        self._reachable = True
        self._listed = False
        self._leaving = False
        self._greenlets: list[gevent.Greenlet] = []
        self._patience_s = self._draw_patience()
        self._yielded_to: str | None = None
        freshness.on_wanted(self._wake.set)
        channel.on(NewsAsk, self._take_ask)
        channel.on(Hint, self._take_hint)

    def start(self) -> None:
        """Learn everything and follow changes from now on."""
        self._greenlets = [
            gevent.spawn(keep_running, name, loop, self._clock, self._log)
            for name, loop in (
                ("follow-peers", self._follow_peers),
                ("follow-store", self._follow_store),
            )
        ]

    def stop(self) -> None:
        """Follow nothing any more."""
        gevent.killall(self._greenlets)

    def leave(self) -> None:
        """Have another daemon watch; this one goes on for itself until it stops."""
        self._leaving = True
        if self.watching:
            hint = Hint(self._catalog.revision, leaving=True)
            self._channel.broadcast(self._fleet.near(), hint)

    def answer(self, ask: NewsAsk, limit: int | None = None) -> News:
        """Return the news for a peer; without events if they exceed `limit` bytes."""
        events = self._catalog.since(ask.after)
        news = News(
            ask.number,
            self._catalog.revision,
            self._freshness.age_s,
            self.watching and not self._leaving,
            events is not None,
            events or (),
        )
        if limit is not None and len(encode(news)) > limit:
            return msgspec.structs.replace(news, whole=False, events=())
        return news

    def _follow_store(self) -> None:
        while True:
            if not self._listed:
                self._list()
            elif self._should_watch():
                self._watch()
            else:
                self._clock.sleep(ASK_PERIOD_S / 4)

    def _should_watch(self) -> bool:
        if self.watching:
            return True
        if self._clock.now() < self._retry_at:
            return False
        if self._freshness.age_s < self._patience_s:
            return False
        self._patience_s = self._draw_patience()
        self.watching = True
        self._yielded_to = None
        self._log.decision("source", "store", "no fresh peer")
        return True

    def _watch(self) -> None:
        asked_at = self._clock.boot()
        after = self._catalog.revision
        # The proof is dated by the question, so without one there is no time to wait.
        wait_s = WATCH_S if self._freshness.age_s < WATCH_S * 2 else 0.0
        batch = self._store.watch("", after, wait_s)
        if batch.is_err():
            failure = batch.err_value.failure
            if failure is StoreFailure.COMPACTED:
                self._log.decision("store", "history", "gone; listing all", after=after)
                self._list()
                return
            self._note_failure(str(batch.err_value.detail))
            return
        self._note_success()
        self._catalog.apply(batch.ok_value.events, batch.ok_value.revision)
        self._freshness.prove(asked_at, "store")
        if not self._leaving:
            # Also without events, so that daemons that watch learn of one another.
            self._channel.broadcast(self._fleet.near(), Hint(self._catalog.revision))
        if batch.ok_value.events:
            self._clock.sleep(WATCH_PAUSE_S)
        if self._yielded_to is not None:
            self._log.decision("source", self._yielded_to, "watches already")
            self._source, self._yielded_to = self._yielded_to, None
            self.watching = False

    def _list(self) -> None:
        asked_at = self._clock.boot()
        listing = self._store.listing("")
        if listing.is_err():
            self._note_failure(str(listing.err_value.detail))
            self._clock.sleep(max(self._retry_at - self._clock.now(), 0.0))
            return
        self._note_success()
        self._listed = True
        self._catalog.replace(listing.ok_value)
        self._freshness.prove(asked_at, "store")

    def _note_success(self) -> None:
        self._retry_s = RETRY_S
        if not self._reachable:
            self._reachable = True
            self._log.decision("store", "reachable", "answers again")

    def _note_failure(self, why: str) -> None:
        self.watching = False
        self._world.note_outage()
        pause_s = self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_at = self._clock.now() + pause_s
        self._retry_s = min(self._retry_s * 2.0, MAX_RETRY_S)
        if self._reachable:
            self._reachable = False
            self._log.decision("store", "unreachable", why)

    def _follow_peers(self) -> None:
        while True:
            # A datagram wakes this greenlet as soon as there is news.
            wait_for(self._wake, self._clock, ASK_PERIOD_S)
            self._wake.clear()
            if not self._listed:
                continue
            if self.watching and self._hint is None and self._freshness.is_fresh:
                continue
            hinted, self._hint = self._hint, None
            self._ask(hinted or self._source or self._fleet.pick_source())

    def _ask(self, address: str | None) -> None:
        if address is None:
            return
        asked_at = self._clock.boot()
        after = self._catalog.revision
        news = self._channel.ask(address, lambda n: NewsAsk(n, after), ASK_TIMEOUT_S)
        if news is not None:
            self._fleet.heard(address)
            if not news.whole:
                news = self._fetch(address, after)
        if news is None or not news.whole:
            self._forget(address, LOST_SOURCE_S, "no answer")
            return
        self._catalog.apply(news.events, news.revision)
        self._freshness.prove(asked_at - news.proof_age_s, address)
        if news.from_store:
            self._source = address
            self._patience_s = max(self._patience_s, TAKE_OVER_S)
        elif self._source == address:
            # Followers that ask one another would all grow stale together.
            self._source = None

    def _fetch(self, address: str, after: int) -> News | None:
        try:
            return fetch_news(address, NewsAsk(0, after))
        except (OSError, msgspec.MsgspecError) as exc:
            self._log.decision("news", address, f"not fetched: {exc}")
            return None

    def _forget(self, address: str, patience_s: float, why: str) -> None:
        if self._source == address:
            self._source = None
            self._patience_s = self._draw_patience(patience_s)
            self._log.decision("source", address, why)

    def _take_ask(self, ask: NewsAsk, sender: str) -> None:
        self._fleet.heard(sender)
        self._channel.send(sender, self.answer(ask, MAX_DATAGRAM_BYTES))

    def _take_hint(self, hint: Hint, sender: str) -> None:
        vm_id = self._fleet.heard(sender)
        if hint.leaving:
            self._forget(sender, HANDED_OVER_S, "leaves")
            return
        if self.watching and vm_id is not None and vm_id < self._fleet.vm_id:
            self._yielded_to = sender
        if not self.watching:
            self._source = sender
        if hint.revision > self._catalog.revision:
            self._hint = sender
            self._wake.set()

    def _draw_patience(self, least_s: float = TAKE_OVER_S) -> float:
        return least_s + self._rng.uniform(0.0, TAKE_OVER_SPREAD_S)
