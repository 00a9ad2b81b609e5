"""Random tests of caches that list, watch and pull from one another."""

import random

import pytest

from lacewingpond.entry import history_gaps, store_cache
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.write_order import WriteOrder
from lacewingpond.store.base import Listing, StoreEntry, StorePosition, WatchEvent
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import ManualClock

KEYS = "abcd"
DAEMONS = 4
SEEDS = 1_000
STEPS = ("change", "pull", "watch", "start_listing", "end_listing", "restart", "late")
WEIGHTS = (40, 30, 12, 4, 4, 2, 10)
NUMBER_BYTES = 4


class History:
    """A store that keeps all its changes."""

    def __init__(self):
        self.events = []
        self.written = {}

    @property
    def revision(self):
        return len(self.events)

    def change(self, key, value):
        """Write a key; None removes it, if it is there."""
        if value is None and key not in self.state():
            return
        if value is not None:
            # The number of the write, by which a target orders its writes.
            value = value + self.revision.to_bytes(NUMBER_BYTES, "big")
            self.written.setdefault(key, []).append(value)
        else:
            # Whoever writes the key now is another target.
            self.written[key] = [None]
        self.events.append(WatchEvent(key, value, self.revision + 1))

    def execute_late(self, key, rng):
        """Execute an earlier write of a key again, after later ones or its removal."""
        earlier = [e.value for e in self.events if e.key == key and e.value is not None]
        if earlier:
            value = rng.choice(earlier)
            self.events.append(WatchEvent(key, value, self.revision + 1))

    def settle(self):
        """Let each target write again, and remove what no target writes."""
        for key, event in self.state().items():
            newest = self.written[key][-1]
            if newest is None:
                self.change(key, None)
            elif event.value != newest:
                self.change(key, newest[:-NUMBER_BYTES])

    def state(self, revision=None):
        present = {}
        for event in self.events[:revision]:
            present[event.key] = event
            if event.value is None:
                del present[event.key]
        return present


class CacheFleet:
    """Daemons of which any may list, watch, pull or start again at any time."""

    def __init__(self):
        self.store = History()
        self.store.change(KEYS[0], b"x")
        self.caches = [self._new() for _ in range(DAEMONS)]
        self.pages = [None] * DAEMONS

    @staticmethod
    def _new():
        def is_same(key, old, new):
            return old[:-NUMBER_BYTES] == new[:-NUMBER_BYTES]

        def is_older(key, value, other):
            return value[-NUMBER_BYTES:] < other[-NUMBER_BYTES:]

        order = WriteOrder(is_older, ManualClock(), RecordingDecisionLog())
        return StoreCache(is_same, lambda *_: False, order)

    def change(self, key, value):
        self.store.change(key, value)

    def start_listing(self, number):
        """Read the first page, of the first half of the keys."""
        state = self.store.state()
        first = [e for key, e in state.items() if key < KEYS[len(KEYS) // 2]]
        self.pages[number] = (self.store.revision, first)

    def end_listing(self, number):
        if self.pages[number] is None:
            self.start_listing(number)
        revision, first = self.pages[number]
        self.pages[number] = None
        state = self.store.state()
        second = [e for key, e in state.items() if key >= KEYS[len(KEYS) // 2]]
        entries = [StoreEntry(e.key, e.value, e.revision) for e in first + second]
        entries.sort(key=lambda e: e.key)
        listing = Listing(tuple(entries), revision, last_revision=self.store.revision)
        self.caches[number].apply_listing(listing)

    def watch(self, number):
        cache = self.caches[number]
        if cache.position.revision:
            events = self.store.events[cache.position.revision :]
            cache.apply(events, StorePosition(revision=self.store.revision))

    def pull(self, number, peer):
        cache, source = self.caches[number], self.caches[peer]
        if not cache.position.revision:
            return
        changes = source.changes_since(cache.position.revision, cache.seen_until)
        if changes is not None:
            changes += source.states_of(cache.late_keys)
            cache.apply_peer_changes(
                changes, source.position, source.complete_from, source.late_keys
            )
            return
        entries = tuple(
            StoreEntry(e.key, e.value, e.revision) for e in source.all_entries()
        )
        listing = Listing(
            entries, source.position.revision, last_revision=source.complete_from
        )
        cache.apply_listing(listing, source.late_keys)

    def restart(self, number):
        self.caches[number] = self._new()
        self.pages[number] = None

    def check(self, seed):
        """Check that each cache is up to date once it has watched the store."""
        for number, cache in enumerate(self.caches):
            self.watch(number)
            if cache.position.revision:
                known = {e.key: e.value[:-NUMBER_BYTES] for e in cache.all_entries()}
                stored = self.store.state().items()
                stored = {key: e.value[:-NUMBER_BYTES] for key, e in stored}
                assert known == stored, f"seed {seed}"


def play(fleet, rng, steps):
    for _ in range(steps):
        number, peer = rng.randrange(DAEMONS), rng.randrange(DAEMONS)
        name = rng.choices(STEPS, WEIGHTS)[0]
        if name == "change":
            fleet.change(rng.choice(KEYS), rng.choice([b"x", b"x", b"y", None, None]))
        elif name == "pull":
            fleet.pull(number, peer)
        elif name == "late":
            fleet.store.execute_late(rng.choice(KEYS), rng)
        else:
            getattr(fleet, name)(number)


# Guards against a change that one daemon knows and another never gets, by any order of
# listings, watches, pulls, starts and writes.
@pytest.mark.parametrize("tombstones", [1, 3, 10_000])
def test_all_daemons_come_to_the_state_of_the_store(tombstones, monkeypatch):
    monkeypatch.setattr(store_cache, "MAX_TOMBSTONES", tombstones)
    monkeypatch.setattr(history_gaps, "MAX_GAPS", 2)
    for seed in range(SEEDS):
        fleet = CacheFleet()
        for number in range(DAEMONS):
            fleet.end_listing(number)
        assert all(cache.position.revision for cache in fleet.caches)
        rng = random.Random(seed)
        play(fleet, rng, 40)
        fleet.store.settle()
        fleet.watch(rng.randrange(DAEMONS))
        for _ in range(6):
            fleet.pull(rng.randrange(DAEMONS), rng.randrange(DAEMONS))
        fleet.check(seed)
