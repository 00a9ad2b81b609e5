"""Tests of what a VM keeps of the store's keys."""

from entry_helper import FORMATS

from lacewingpond.entry import catalog as module
from lacewingpond.entry.catalog import Catalog
from lacewingpond.store.base import Entry, Listing, WatchEvent


def event(key, value, revision):
    return WatchEvent(key, value, revision)


def filled(is_same=FORMATS.is_same):
    catalog, news = Catalog(is_same), []
    catalog.on_change(news.append)
    catalog.apply([event("a", b"1", 1), event("b", b"1", 2)], 2)
    return catalog, news


def test_state_never_goes_back():
    catalog, news = filled()
    catalog.apply([event("a", b"2", 5)], 5)
    catalog.apply([event("a", b"old", 3)], 4)
    assert catalog.revision == 5
    assert [e.value for e in catalog.since(0) if e.key == "a"] == [b"2"]
    assert len(news) == 2


def test_news_of_a_revision_are_what_came_after_it():
    catalog, _ = filled()
    catalog.apply([event("a", None, 3)], 3)
    assert catalog.since(2) == (event("a", None, 3),)
    assert catalog.since(3) == ()


def test_change_without_a_meaning_is_no_news():
    catalog, news = filled(is_same=lambda key, old, new: True)
    catalog.apply([event("a", b"2", 3)], 3)
    assert catalog.revision == 3
    assert len(news) == 1
    assert catalog.since(2) == ()


def test_listing_removes_what_it_lacks():
    catalog, news = filled()
    catalog.replace(Listing((Entry("b", b"1", 2), Entry("c", b"3", 8)), 9))
    assert catalog.revision == 9
    assert {(e.key, e.value) for e in news[-1]} == {("a", None), ("c", b"3")}


def test_listing_from_before_a_watch_removes_nothing_newer():
    catalog, news = filled()
    catalog.apply([event("c", b"new", 12)], 12)
    catalog.replace(Listing((Entry("a", b"1", 1), Entry("b", b"1", 2)), 9))
    assert catalog.revision == 12
    assert len(news) == 2


def test_peer_behind_forgotten_removals_is_told_to_fetch_all(monkeypatch):
    monkeypatch.setattr(module, "MAX_REMOVED", 1)
    catalog, _ = filled()
    catalog.apply([event("a", None, 3), event("b", None, 4)], 4)
    assert catalog.since(2) is None
    assert catalog.since(3) == (event("b", None, 4),)
