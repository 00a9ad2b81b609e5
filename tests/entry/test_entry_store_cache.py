"""Tests of the local copy of the store's keys."""

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
