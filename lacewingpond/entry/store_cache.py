"""Local copy of the store's keys, ordered by position in its history."""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable

from lacewingpond.entry.history_gaps import HistoryGaps
from lacewingpond.entry.write_order import WriteOrder
from lacewingpond.store.base import (
    NO_ERA,
    Listing,
    StoreEntry,
    StorePosition,
    WatchEvent,
)

MAX_TOMBSTONES = 10_000
"""Removed keys that are remembered for peers; the oldest is dropped first."""
MAX_LATE_KEYS = 20
"""Keys whose last write was ignored, of which peers are told and asked at a time."""
MAX_LAST_VALUES = 2_000
"""Removed keys whose last value is remembered, for a store that brings them back."""

Listener = Callable[[tuple[WatchEvent, ...]], None]
HoldsOver = Callable[[str, bytes, bool, bytes | None], bool]
"""Takes a key, its known value, whether it was removed since, and the value of a copy
of the store, None if that lacks the key. Returns whether what is known holds on."""


class StoreCache:
    """Newest known state of each key; never returns to an older state.

    If the store comes back from an older copy, a new era begins: the copy is taken
    over, but for keys where `holds_over` says that what is known is newer. These hold
    until they are written in the new era.

    Parameters
    ----------
    is_same : callable
        Takes a key and two of its values and returns whether they are equivalent;
        such a change is not passed on.
    holds_over : callable
        See `HoldsOver`.
    order : WriteOrder or None
        Tells which writes to ignore, as the store has executed them late.

    Attributes
    ----------
    position : StorePosition
        Position up to which all changes are known; revision 0 before a listing.
    has_changed_era : bool
        Whether the store has gone back since this daemon started.
    """

    __slots__ = ("position", "has_changed_era", "_events", "_tombstone_count")
    __slots__ += ("_gaps", "_listeners", "_is_same", "_holds_over")
    __slots__ += ("_last_values", "_held_over", "_era_listeners", "_order", "_late")

    def __init__(
        self,
        is_same: Callable[[str, bytes, bytes], bool],
        holds_over: HoldsOver,
        order: WriteOrder | None = None,
    ) -> None:
        self.position = StorePosition()
        self.has_changed_era = False
        self._is_same = is_same
        self._holds_over = holds_over
        self._order = order
        # By rising revision; none is later than `position`.
        self._events: OrderedDict[str, WatchEvent] = OrderedDict()
        self._last_values: OrderedDict[str, bytes] = OrderedDict()
        self._held_over: set[str] = set()
        # Writes that were ignored here as late, or by the peer that the changes came
        # from (None), until the next write of their key.
        self._late: dict[str, bytes | None] = {}
        self._tombstone_count = 0
        self._gaps = HistoryGaps()
        self._listeners: list[Listener] = []
        self._era_listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the events that changed the cache."""
        self._listeners.append(listener)

    def on_era(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the beginning of each era."""
        self._era_listeners.append(listener)

    def is_same_era(self, era: int) -> bool:
        """Return whether revisions of `era` can be compared with those known here.

        A peer that states no era is of an earlier build. It is in the same era unless
        the store has gone back since this daemon started.
        """
        if era == NO_ERA or self.position.era == NO_ERA:
            return not self.has_changed_era
        return era == self.position.era

    def is_later_era(self, era: int) -> bool:
        """Return whether `era` began after the one known here."""
        return self.position.era != NO_ERA and era > self.position.era

    def is_earlier_era(self, era: int) -> bool:
        """Return whether `era` ended before the one known here began."""
        return not self.is_same_era(era) and not self.is_later_era(era)

    def is_behind(self, position: StorePosition) -> bool:
        """Return whether changes up to `position` are not all known here."""
        if self.is_same_era(position.era):
            return position.revision > self.position.revision
        return self.is_later_era(position.era)

    def begins_era(self, listing: Listing) -> bool:
        """Return whether `listing` is of an era that begins here with it."""
        if self.position.era != NO_ERA or listing.era == NO_ERA:
            return self.is_later_era(listing.era)
        # What is known comes from peers of a build that knows no eras.
        return listing.revision < self.position.revision

    @property
    def complete_from(self) -> int:
        """Revision from which on all changes are known, also those undone since."""
        return self._gaps.end

    @property
    def late_keys(self) -> tuple[str, ...]:
        """Keys whose last write was ignored as late, here or by a peer."""
        return tuple(itertools.islice(self._late, MAX_LATE_KEYS))

    @property
    def seen_until(self) -> int:
        """Revision up to which some changes may be known; at least the position's."""
        return max(self.position.revision, self._gaps.end)

    def apply(self, events: Iterable[WatchEvent], position: StorePosition) -> bool:
        """Apply `events`, which hold all changes up to `position`.

        Returns
        -------
        bool
            False if `position` is of another era, so that nothing was applied.
        """
        return self._apply(events, position, collapsed=False)

    def apply_peer_changes(
        self,
        events: Iterable[WatchEvent],
        position: StorePosition,
        complete_from: int,
        late_keys: Iterable[str] = (),
    ) -> bool:
        """Apply the last change of each key that a peer knows.

        Parameters
        ----------
        events : iterable of WatchEvent
            The changes up to `position`.
        position : StorePosition
            Position of the peer.
        complete_from : int
            Revision from which on the peer knows all changes. Before it, a key may have
            come and gone unseen; see `changes_since`.
        late_keys : iterable of str
            The peer's `late_keys`.

        Returns
        -------
        bool
            False if `position` is of another era, so that nothing was applied.
        """
        if not self.is_same_era(position.era):
            return False
        self._gaps.add(self.position.revision, complete_from)
        is_newer = position.revision > self.position.revision
        self._apply(events, position, collapsed=True)
        if is_newer:
            self._record_late(late_keys)
        return True

    def _record_late(self, keys: Iterable[str]) -> None:
        """Record that the peer whose state was taken over ignored writes of `keys`."""
        for key in keys:
            self._late.setdefault(key, None)

    def _apply(
        self, events: Iterable[WatchEvent], position: StorePosition, collapsed: bool
    ) -> bool:
        if not self.is_same_era(position.era):
            return False
        era = max(self.position.era, position.era)
        # What is known up to the old position is complete. A peer of an earlier build
        # may send changes after the new one, which come again.
        fresh = [
            event
            for event in events
            if self.position.revision < event.revision <= position.revision
        ]
        applied = tuple(event for event in fresh if self._apply_event(event, collapsed))
        revision = max(self.position.revision, position.revision)
        self.position = StorePosition(era, revision)
        self._notify(applied)
        return True

    def apply_listing(self, listing: Listing, late_keys: Iterable[str] = ()) -> bool:
        """Apply a listing of all keys; known keys that it lacks were removed.

        A listing of a later era begins that era here.

        Parameters
        ----------
        listing : Listing
            All keys, of the store or of a peer.
        late_keys : iterable of str
            The `late_keys` of that peer.

        Returns
        -------
        bool
            False if it is of an earlier era, so that nothing was applied.
        """
        if self.begins_era(listing):
            self._begin_era(listing)
            return True
        last_revision = max(listing.revision, listing.last_revision)
        self._gaps.add(self.position.revision, last_revision)
        listed = {entry.key for entry in listing.entries}
        removed = [
            WatchEvent(event.key, None, listing.revision)
            for event in self._events.values()
            if event.value is not None
            and event.key not in listed
            and event.revision <= listing.revision
        ]
        present = [self._listed_event(entry, listing) for entry in listing.entries]
        present.sort(key=lambda event: event.revision)
        is_newer = listing.revision > self.position.revision
        is_applied = self.apply(present + removed, listing.position)
        if is_applied and is_newer:
            self._record_late(late_keys)
        return is_applied

    def changes_since(
        self, revision: int, seen_until: int = 0
    ) -> tuple[WatchEvent, ...] | None:
        """Return the changes after `revision` of this era, by rising revision.

        Parameters
        ----------
        revision : int
            Revision up to which all changes are known to the daemon that asks.
        seen_until : int
            Its `seen_until`, if that is later.

        Returns
        -------
        tuple of WatchEvent or None
            The last change of each key; None if removals after `revision` may be
            unknown, so that the changes would be incomplete.
        """
        if revision and self._gaps.covers(revision, max(revision, seen_until)):
            return None
        newer: list[WatchEvent] = []
        for event in reversed(self._events.values()):
            if event.revision <= revision:
                break
            newer.append(event)
        return tuple(reversed(newer))

    def states_of(self, keys: Iterable[str]) -> tuple[WatchEvent, ...]:
        """Return what is known of `keys` now, for a peer that has ignored a write.

        Keys that are unknown, or of which a write was ignored here too, are left out.
        """
        revision = self.position.revision
        known = [self._events.get(key) for key in keys if key not in self._late]
        return tuple(WatchEvent(e.key, e.value, revision) for e in known if e)

    def all_entries(self) -> tuple[WatchEvent, ...]:
        """Return the present keys, by rising revision."""
        return tuple(e for e in self._events.values() if e.value is not None)

    def _listed_event(self, entry: StoreEntry, listing: Listing) -> WatchEvent:
        """Return the write that a listing shows, dated by the listing if need be.

        Later pages may show writes after its revision. A peer dates an entry by the
        first of equivalent writes that it knows, and may know no later one; what was
        written between them may be known here.
        """
        dated = WatchEvent(entry.key, entry.value, listing.revision)
        if entry.revision >= listing.revision:
            return dated
        event = WatchEvent(entry.key, entry.value, entry.revision)
        if entry.revision > self.position.revision or entry.key in self._held_over:
            return event
        known = self._events.get(entry.key)
        if known is not None and self._is_equivalent(event, known):
            return event
        if entry.value == self._late.get(entry.key):
            return event
        if self._order is not None:
            self._order.forget(entry.key)
        return dated

    def _begin_era(self, listing: Listing) -> None:
        copied = {entry.key: entry for entry in listing.entries}
        known, self._events = self._events, OrderedDict()
        self._tombstone_count, self._gaps = 0, HistoryGaps()
        self._gaps.add(0, max(listing.revision, listing.last_revision))
        self.position, self.has_changed_era = listing.position, True
        self._held_over.clear()
        changed: list[WatchEvent] = []
        for entry in sorted(listing.entries, key=lambda e: e.revision):
            revision = min(entry.revision, listing.revision)
            event = WatchEvent(entry.key, entry.value, revision)
            before = known.get(entry.key)
            if before is not None and self._holds(before, entry.value):
                continue
            self._set(event)
            if before is None or not self._is_equivalent(event, before):
                changed.append(event)
        for key, before in known.items():
            if key in self._events:
                continue
            # What holds over is as new as the listing, so that peers get it with that.
            value = before.value
            if key in copied or self._holds(before, None):
                self._held_over.add(key)
            else:
                value = None
            event = WatchEvent(key, value, listing.revision)
            if value is None:
                self._tombstone_count += 1
            self._set(event)
            if value is None and before.value is not None:
                self._remember(key, before.value)
                changed.append(event)
        self._notify(tuple(changed))
        for listener in self._era_listeners:
            listener()

    def _holds(self, known: WatchEvent, copied: bytes | None) -> bool:
        removed = known.value is None
        value = self._last_values.get(known.key) if removed else known.value
        if value is None:
            return False
        return self._holds_over(known.key, value, removed, copied)

    def _apply_event(self, event: WatchEvent, collapsed: bool) -> bool:
        """Apply a write or a removal; return whether it changes what is known.

        If the changes are `collapsed`, a value that is equivalent to the known one may
        hide another between the two, which a third daemon knows.
        """
        known = self._events.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        if known is not None and self._is_late(event, known):
            # A peer may know this one: the next write is passed on, even if it is
            # equivalent to what is known here.
            self._late[event.key] = event.value
            return False
        was_present = known is not None and known.value is not None
        is_repeated = was_present and self._is_equivalent(event, known)
        is_known_to_peers = not collapsed and event.key not in self._late
        if is_repeated and is_known_to_peers and event.key not in self._held_over:
            # The next value is compared with the newest one. The revision stays, so
            # that peers are not sent a value that is equivalent to theirs.
            self._events[event.key] = WatchEvent(event.key, event.value, known.revision)
            self._record_order(event.key)
            return False
        self._held_over.discard(event.key)
        if known is not None and not was_present:
            self._tombstone_count -= 1
        self._set(event)
        if event.value is not None:
            return not is_repeated
        # Peers may know a key that is unknown here, or was removed before.
        self._tombstone_count += 1
        if was_present:
            self._remember(event.key, known.value)
        self._drop_oldest_tombstone()
        return was_present

    def _set(self, event: WatchEvent) -> None:
        """Record a change, as the last one."""
        self._events[event.key] = event
        self._events.move_to_end(event.key)
        self._late.pop(event.key, None)
        self._record_order(event.key)

    def _record_order(self, key: str) -> None:
        if self._order is not None:
            self._order.record(key)

    def _is_late(self, event: WatchEvent, known: WatchEvent) -> bool:
        """Return whether a write came before what is known, by the writer's order."""
        if self._order is None or event.value is None:
            return False
        last = known.value
        if last is None:
            last = self._last_values.get(event.key)
        return last is not None and self._order.is_late(event.key, event.value, last)

    def _remember(self, key: str, value: bytes) -> None:
        self._last_values.pop(key, None)
        self._last_values[key] = value
        if len(self._last_values) > MAX_LAST_VALUES:
            self._last_values.popitem(last=False)

    def _notify(self, events: tuple[WatchEvent, ...]) -> None:
        if events:
            for listener in self._listeners:
                listener(events)

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
                self._gaps.add(0, event.revision)
                return
