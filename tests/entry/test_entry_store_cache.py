"""Tests of the local copy of the store's keys."""

import pytest
from entry_helper import FORMATS, at

from lacewingpond.entry import store_cache as module
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.store.base import Listing, StoreEntry, WatchEvent


def holds_nothing(key, known, removed, copied):
    return False


def event(key, value, revision):
    return WatchEvent(key, value, revision)


def filled(is_same=FORMATS.is_same):
    cache, changes = StoreCache(is_same, holds_nothing), []
    cache.on_change(changes.append)
    cache.apply([event("a", b"1", 1), event("b", b"1", 2)], at(2))
    return cache, changes


def test_older_change_is_ignored():
    cache, changes = filled()
    cache.apply([event("a", b"2", 5)], at(5))
    cache.apply([event("a", b"old", 3)], at(4))
    assert cache.position.revision == 5
    assert [e.value for e in cache.changes_since(0) if e.key == "a"] == [b"2"]
    assert len(changes) == 2


def test_changes_since_a_revision_exclude_it():
    cache, _ = filled()
    cache.apply([event("a", None, 3)], at(3))
    assert cache.changes_since(2) == (event("a", None, 3),)
    assert cache.changes_since(3) == ()


def test_equivalent_value_is_not_passed_on():
    cache, changes = filled(is_same=lambda key, old, new: True)
    cache.apply([event("a", b"2", 3)], at(3))
    assert cache.position.revision == 3
    assert len(changes) == 1
    assert cache.changes_since(2) == ()


def test_listing_removes_keys_that_it_lacks():
    cache, changes = filled()
    cache.apply_listing(
        Listing((StoreEntry("b", b"1", 2), StoreEntry("c", b"3", 8)), 9)
    )
    assert cache.position.revision == 9
    assert {(e.key, e.value) for e in changes[-1]} == {("a", None), ("c", b"3")}


def test_older_listing_removes_no_newer_key():
    cache, changes = filled()
    cache.apply([event("c", b"new", 12)], at(12))
    cache.apply_listing(
        Listing((StoreEntry("a", b"1", 1), StoreEntry("b", b"1", 2)), 9)
    )
    assert cache.position.revision == 12
    assert len(changes) == 2


def test_changes_since_a_dropped_tombstone_are_unknown(monkeypatch):
    monkeypatch.setattr(module, "MAX_TOMBSTONES", 1)
    cache, _ = filled()
    cache.apply([event("a", None, 3), event("b", None, 4)], at(4))
    assert cache.changes_since(2) is None
    assert cache.changes_since(3) == (event("b", None, 4),)


# Guards against a daemon that takes a listing for all that happened before it: a peer
# that is behind would keep the keys that were removed meanwhile.
def test_changes_within_the_history_before_a_listing_are_unknown():
    cache = StoreCache(FORMATS.is_same, holds_nothing)
    cache.apply_listing(Listing((StoreEntry("b", b"1", 2),), 9))
    assert cache.changes_since(5) is None
    assert cache.changes_since(9) == ()
    # A peer that knows no keys has none to remove.
    assert cache.changes_since(0) == (event("b", b"1", 2),)


def test_changes_before_a_second_listing_are_known_but_for_those_it_may_hide():
    cache, _ = filled()
    cache.apply_listing(Listing((StoreEntry("b", b"1", 2),), 9))
    assert cache.changes_since(1) == (event("b", b"1", 2), event("a", None, 9))
    assert cache.changes_since(2) == (event("a", None, 9),)
    assert cache.changes_since(4) is None
    cache.apply([event("c", b"1", 12)], at(12))
    assert cache.changes_since(2) == (event("a", None, 9), event("c", b"1", 12))
    assert cache.changes_since(8) is None
    assert cache.changes_since(10) == (event("c", b"1", 12),)


def follow(behind, ahead):
    """Give one cache the changes of another, as a pull does."""
    changes = ahead.changes_since(behind.position.revision, behind.seen_until)
    behind.apply_peer_changes(changes, ahead.position, ahead.complete_from)


def state(cache):
    return {e.key: e.value for e in cache.all_entries()}


# Guards against a key that came and went unseen by the peer that others pull from: they
# would keep it for good.
def test_removal_of_a_key_that_was_unknown_is_passed_on():
    store, between, behind = [filled()[0] for _ in range(3)]
    store.apply([event("c", b"1", 3)], at(3))
    follow(behind, store)
    store.apply([event("c", None, 4)], at(4))
    follow(between, store)
    follow(behind, between)
    assert state(behind) == state(store) == {"a": b"1", "b": b"1"}


# Guards against a key that was removed, written and removed again: a peer that saw it
# in between would keep it for good.
def test_second_removal_is_passed_on():
    store, between, behind = [filled()[0] for _ in range(3)]
    store.apply([event("a", None, 3)], at(3))
    follow(between, store)
    store.apply([event("a", b"2", 4)], at(4))
    follow(behind, store)
    store.apply([event("a", None, 5)], at(5))
    follow(between, store)
    follow(behind, between)
    assert state(behind) == state(store) == {"b": b"1"}


# Guards against a target that was removed and is back: a peer that saw only the removal
# would never use it again.
@pytest.mark.parametrize("listed", [False, True])
def test_key_that_is_back_with_the_same_value_is_passed_on(listed):
    store, between, behind = [filled()[0] for _ in range(3)]
    store.apply([event("a", None, 3)], at(3))
    follow(behind, store)
    store.apply([event("a", b"1", 4)], at(4))
    if listed:
        entries = tuple(StoreEntry(e.key, e.value, e.revision) for e in store_of(store))
        between.apply_listing(Listing(entries, 5))
        assert between.changes_since(3) is None
        entries = tuple(
            StoreEntry(e.key, e.value, e.revision) for e in between.all_entries()
        )
        behind.apply_listing(Listing(entries, 5))
    else:
        follow(between, store)
        follow(behind, between)
    assert state(behind) == state(store) == {"a": b"1", "b": b"1"}


def store_of(cache):
    return sorted(cache.all_entries(), key=lambda e: e.key)


# Guards against a peer that misses a change because a later page of a listing held a
# key that had changed after the revision of the first page.
def test_changes_are_complete_after_a_listing_of_several_pages():
    cache, _ = filled()
    entries = (StoreEntry("b", b"1", 2), StoreEntry("z", b"2", 6))
    cache.apply_listing(Listing(entries, 3, last_revision=6))
    assert state(cache) == {"b": b"1", "z": b"2"}
    later = (event("b", b"2", 4), event("c", b"1", 5), event("z", b"2", 6))
    cache.apply(later, at(6))
    assert {e.key for e in cache.changes_since(2)} == {"a", "b", "c", "z"}
    # What these peers know of "z" may be older, although its date here is 3.
    assert [cache.changes_since(revision) for revision in (3, 4, 5)] == [None] * 3
    assert cache.changes_since(6) == ()


# Guards against a key that a later page showed, and that a peer never knew: changes of
# that peer would not remove it.
def test_daemon_that_knows_later_changes_in_part_gets_no_incomplete_changes():
    cache, peer = filled()[0], filled()[0]
    entries = (StoreEntry("a", b"1", 1), StoreEntry("z", b"2", 4))
    cache.apply_listing(Listing(entries, 2, last_revision=4))
    peer.apply_listing(Listing((StoreEntry("a", b"1", 1),), 7))
    assert cache.seen_until == 4
    assert peer.changes_since(cache.position.revision, cache.seen_until) is None
    assert peer.changes_since(2) == (event("b", None, 7),)


def test_equivalent_value_of_a_peer_is_no_change_here():
    cache, changes = filled()
    cache.apply_peer_changes([event("a", b"1", 3)], at(3), 0)
    assert len(changes) == 1
    assert cache.changes_since(2) == (event("a", b"1", 3),)


def test_removals_that_change_nothing_are_counted_and_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_TOMBSTONES", 2)
    cache, changes = filled()
    for revision, key in enumerate(("x", "x", "y", "z"), 3):
        cache.apply([event(key, None, revision)], at(revision))
    assert len(changes) == 1
    assert cache.changes_since(3) is None
    assert [e.key for e in cache.changes_since(4)] == ["y", "z"]


# Guards against a daemon that takes over the changes of a peer, but not that these may
# lack some: a third one would miss a removal and the write after it.
def test_gap_of_a_peer_is_taken_over_with_its_changes():
    listed, between = filled()[0], filled()[0]
    listed.apply_listing(Listing((StoreEntry("a", b"1", 1),), 9))
    follow(between, listed)
    assert between.changes_since(5) is None
    assert between.changes_since(2) == (event("b", None, 9),)
