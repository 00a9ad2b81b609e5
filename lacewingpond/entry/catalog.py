"""What this VM knows of the store's keys, in the order of their changes."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from lacewingpond.store.base import Listing, WatchEvent

MAX_REMOVED = 10_000
"""Notices of removed keys that are kept for peers, oldest forgotten first."""

Listener = Callable[[tuple[WatchEvent, ...]], None]


class Catalog:
    """The newest known state of each key; never goes back.

    Parameters
    ----------
    is_same : callable
        Whether two values of a key mean the same; such a change is no news.

    Attributes
    ----------
    revision : int
        Revision of the store up to which nothing is missing; 0 before a listing.
    """

    __slots__ = ("revision", "_events", "_removed", "_forgotten", "_listeners")
    __slots__ += ("_is_same",)

    def __init__(self, is_same: Callable[[str, bytes, bytes], bool]) -> None:
        self.revision = 0
        self._is_same = is_same
        self._events: OrderedDict[str, WatchEvent] = OrderedDict()
        self._removed = 0
        self._forgotten = 0
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the events that were news."""
        self._listeners.append(listener)

    def apply(self, events: Iterable[WatchEvent], revision: int) -> None:
        """Take over changes that reach up to `revision`."""
        news = tuple(event for event in events if self._take(event))
        self.revision = max(self.revision, revision)
        if news:
            for listener in self._listeners:
                listener(news)

    def replace(self, listing: Listing) -> None:
        """Take over a whole listing; keys that it lacks have been removed."""
        listed = {entry.key for entry in listing.entries}
        gone = [
            WatchEvent(event.key, None, listing.revision)
            for event in self._events.values()
            if event.value is not None
            and event.key not in listed
            and event.revision <= listing.revision
        ]
        found = [WatchEvent(e.key, e.value, e.revision) for e in listing.entries]
        self.apply(sorted(found, key=lambda e: e.revision) + gone, listing.revision)

    def since(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Return what has changed after `revision`, or None if that is forgotten."""
        if 0 < revision < self._forgotten:
            return None
        newer: list[WatchEvent] = []
        for event in reversed(self._events.values()):
            if event.revision <= revision:
                break
            newer.append(event)
        return tuple(reversed(newer))

    def _take(self, event: WatchEvent) -> bool:
        known = self._events.get(event.key)
        if event.revision <= self.revision:
            # Everything up to there is known already.
            return False
        if known is not None and known.revision >= event.revision:
            return False
        if known is None and event.value is None:
            return False
        if known is not None and self._means_the_same(event, known):
            return False
        if known is not None and known.value is None:
            self._removed -= 1
        self._events[event.key] = event
        self._events.move_to_end(event.key)
        if event.value is None:
            self._removed += 1
            self._forget_oldest()
        return True

    def _means_the_same(self, event: WatchEvent, known: WatchEvent) -> bool:
        if event.value is None or known.value is None:
            return event.value is known.value
        return self._is_same(event.key, known.value, event.value)

    def _forget_oldest(self) -> None:
        if self._removed <= MAX_REMOVED:
            return
        for key, event in self._events.items():
            if event.value is None:
                del self._events[key]
                self._removed -= 1
                self._forgotten = max(self._forgotten, event.revision)
                return
