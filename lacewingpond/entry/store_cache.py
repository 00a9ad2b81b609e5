"""Local copy of the store's keys, ordered by revision."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from lacewingpond.store.base import Listing, WatchEvent

MAX_TOMBSTONES = 10_000
"""Removed keys that are remembered for peers; the oldest is dropped first."""

Listener = Callable[[tuple[WatchEvent, ...]], None]


class StoreCache:
    """Newest known state of each key; never returns to an older state.

    Parameters
    ----------
    is_same : callable
        Takes a key and two of its values and returns whether they are equivalent;
        such a change is not passed on.

    Attributes
    ----------
    revision : int
        Store revision up to which all changes are known; 0 before a listing.
    """

    __slots__ = ("revision", "_events", "_tombstone_count", "_dropped_revision")
    __slots__ += ("_listeners", "_is_same")

    def __init__(self, is_same: Callable[[str, bytes, bytes], bool]) -> None:
        self.revision = 0
        self._is_same = is_same
        self._events: OrderedDict[str, WatchEvent] = OrderedDict()
        self._tombstone_count = 0
        self._dropped_revision = 0
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the events that changed the cache."""
        self._listeners.append(listener)

    def apply(self, events: Iterable[WatchEvent], revision: int) -> None:
        """Apply `events`, which hold all changes up to `revision`."""
        applied = tuple(event for event in events if self._apply_event(event))
        self.revision = max(self.revision, revision)
        if applied:
            for listener in self._listeners:
                listener(applied)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of all keys; known keys that it lacks were removed."""
        listed = {entry.key for entry in listing.entries}
        removed = [
            WatchEvent(event.key, None, listing.revision)
            for event in self._events.values()
            if event.value is not None
            and event.key not in listed
            and event.revision <= listing.revision
        ]
        present = [WatchEvent(e.key, e.value, e.revision) for e in listing.entries]
        self.apply(
            sorted(present, key=lambda e: e.revision) + removed, listing.revision
        )

    def changes_since(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Return the changes after `revision`, by rising revision.

        Returns
        -------
        tuple of WatchEvent or None
            The last change of each key; None if a removal after `revision` has been
            dropped, so that the changes would be incomplete.
        """
        if 0 < revision < self._dropped_revision:
            return None
        newer: list[WatchEvent] = []
        for event in reversed(self._events.values()):
            if event.revision <= revision:
                break
            newer.append(event)
        return tuple(reversed(newer))

    def _apply_event(self, event: WatchEvent) -> bool:
        known = self._events.get(event.key)
        if event.revision <= self.revision:
            # All changes up to `self.revision` have been applied.
            return False
        if known is not None and known.revision >= event.revision:
            return False
        if known is None and event.value is None:
            return False
        if known is not None and self._is_equivalent(event, known):
            return False
        if known is not None and known.value is None:
            self._tombstone_count -= 1
        self._events[event.key] = event
        self._events.move_to_end(event.key)
        if event.value is None:
            self._tombstone_count += 1
            self._drop_oldest_tombstone()
        return True

    def _is_equivalent(self, event: WatchEvent, known: WatchEvent) -> bool:
        if event.value is None or known.value is None:
            return event.value is known.value
        return self._is_same(event.key, known.value, event.value)

    def _drop_oldest_tombstone(self) -> None:
        if self._tombstone_count <= MAX_TOMBSTONES:
            return
        for key, event in self._events.items():
            if event.value is None:
                del self._events[key]
                self._tombstone_count -= 1
                self._dropped_revision = max(self._dropped_revision, event.revision)
                return
