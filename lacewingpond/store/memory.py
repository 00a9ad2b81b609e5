"""A store and a VM list in memory, for the stand-in platform and for tests."""

from collections import OrderedDict, deque

from gevent.event import Event
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.store.base import (
    MAX_VALUE_BYTES,
    Entry,
    Listing,
    StoreError,
    StoreFailure,
    VmRecord,
    WatchBatch,
    WatchEvent,
)
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

MAX_TOMBSTONES = 100_000
MAX_LIST_HISTORY = 1_000


class _Lease:
    """A lease and the keys that vanish with it."""

    __slots__ = ("ttl_s", "expires_at", "keys")

    def __init__(self, ttl_s: float, expires_at: float) -> None:
        self.ttl_s = ttl_s
        self.expires_at = expires_at
        self.keys: set[str] = set()


class StoreImage(Struct, frozen=True):
    """A copy of a `MemoryStore`, from which it can come back older."""

    entries: tuple[Entry, ...]
    revision: int


class MemoryStore:
    """Keeps values in memory; implements `Store`.

    A watch reports the last state of each changed key, in order of revision.
    A watch from a revision that the store has not reached returns at once with
    the store's own, lower revision, so that a restored store shows.

    Parameters
    ----------
    clock : Clock
        Times leases and watches.
    """

    __slots__ = ("_clock", "_entries", "_removed", "_leases", "_bound", "_revision")
    __slots__ += ("_changed", "_lease_count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._leases: dict[str, _Lease] = {}
        self._bound: dict[str, str] = {}
        self._revision = 0
        self._lease_count = 0
        self._changed = Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Read one key; `Ok(None)` when it does not exist."""
        self._expire_leases()
        return Ok(self._entries.get(key))

    def scan(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Read all keys that start with `prefix`, in order."""
        self._expire_leases()
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return Ok(tuple(self._entries[key] for key in keys))

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, and where to watch from."""
        entries = self.scan(prefix)
        return entries.map(lambda found: Listing(found, self._revision))

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` whatever it held, bound to `lease`."""
        known = self._entries.get(key)
        revision = known.revision if known is not None else 0
        return self.put_if(key, value, revision, lease or None)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist)."""
        self._expire_leases()
        if len(value) > MAX_VALUE_BYTES:
            return Err(StoreError(StoreFailure.TOO_LARGE, f"{len(value)} bytes"))
        if lease is not None and lease not in self._leases:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has lapsed"))
        conflict = self._conflict(key, expected_revision)
        if conflict is not None:
            return Err(conflict)
        self._unbind(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._bound[key] = lease
        self._revision += 1
        self._entries[key] = Entry(key, value, self._revision)
        self._removed.pop(key, None)
        self._notify()
        return Ok(self._revision)

    def delete_if(self, key: str, expected_revision: int) -> Result[int, StoreError]:
        """Remove `key` if its revision is `expected_revision`."""
        self._expire_leases()
        conflict = self._conflict(key, expected_revision)
        if conflict is not None:
            return Err(conflict)
        if key in self._entries:
            self._remove(key)
        return Ok(self._revision)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        deadline = self._clock.now() + timeout_s
        while True:
            self._expire_leases()
            changed = self._changed
            if after_revision > self._revision:
                return Ok(WatchBatch((), self._revision))
            events = self._events(prefix, after_revision)
            left_s = deadline - self._clock.now()
            if events or left_s <= 0.0:
                return Ok(WatchBatch(events, self._revision))
            wait_for(changed, self._clock, min(left_s, self._next_lapse_s()))

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it vanish when it lapses."""
        self._lease_count += 1
        name = f"lease-{self._lease_count}"
        self._leases[name] = _Lease(ttl_s, self._clock.now() + ttl_s)
        return Ok(name)

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease; a lapsed one is a conflict."""
        self._expire_leases()
        held = self._leases.get(lease)
        if held is None:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has lapsed"))
        held.expires_at = self._clock.now() + held.ttl_s
        return Ok(None)

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease and remove its keys; a lapsed one is a conflict."""
        held = self._leases.get(lease)
        if held is None:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has lapsed"))
        held.expires_at = self._clock.now()
        self._expire_leases()
        return Ok(None)

    def image(self) -> StoreImage:
        """Return a copy of all values."""
        self._expire_leases()
        return StoreImage(tuple(self._entries.values()), self._revision)

    def restore(self, image: StoreImage) -> None:
        """Go back to an earlier copy, revision and all; leases are forgotten."""
        self._entries = {entry.key: entry for entry in image.entries}
        self._revision = image.revision
        self._removed.clear()
        self._leases.clear()
        self._bound.clear()
        self._notify()

    def _conflict(self, key: str, expected_revision: int) -> StoreError | None:
        entry = self._entries.get(key)
        found = entry.revision if entry else 0
        if found == expected_revision:
            return None
        detail = f"{key} is at revision {found}, not {expected_revision}"
        return StoreError(StoreFailure.CONFLICT, detail)

    def _events(self, prefix: str, after: int) -> tuple[WatchEvent, ...]:
        if after == self._revision:
            return ()
        events = [
            WatchEvent(entry.key, entry.value, entry.revision)
            for entry in self._entries.values()
            if entry.revision > after and entry.key.startswith(prefix)
        ]
        events += [
            WatchEvent(key, None, revision)
            for key, revision in self._removed.items()
            if revision > after and key.startswith(prefix)
        ]
        return tuple(sorted(events, key=lambda event: event.revision))

    def _remove(self, key: str) -> None:
        self._unbind(key)
        del self._entries[key]
        self._revision += 1
        self._removed[key] = self._revision
        if len(self._removed) > MAX_TOMBSTONES:
            self._removed.popitem(last=False)
        self._notify()

    def _unbind(self, key: str) -> None:
        lease = self._bound.pop(key, None)
        if lease in self._leases:
            self._leases[lease].keys.discard(key)

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _next_lapse_s(self) -> float:
        if not self._leases:
            return float("inf")
        first = min(lease.expires_at for lease in self._leases.values())
        return max(first - self._clock.now(), 0.001)

    def _expire_leases(self) -> None:
        now = self._clock.now()
        lapsed = [name for name, held in self._leases.items() if held.expires_at <= now]
        for name in lapsed:
            held = self._leases.pop(name)
            for key in sorted(held.keys):
                self._remove(key)


class MemoryVmList:
    """Keeps a list of VMs in memory and shows it late; implements `VmList`.

    Parameters
    ----------
    clock : Clock
        Times the lag.
    lag_s : float
        How far the list that is read lies behind the one that was set.
    """

    __slots__ = ("_clock", "_history", "lag_s")

    def __init__(
        self, clock: Clock, records: tuple[VmRecord, ...] = (), lag_s: float = 0.0
    ) -> None:
        self._clock = clock
        self.lag_s = lag_s
        self._history: deque[tuple[float, tuple[VmRecord, ...]]] = deque(
            [(float("-inf"), records)], maxlen=MAX_LIST_HISTORY
        )

    def set(self, records: tuple[VmRecord, ...]) -> None:
        """Replace the list; readers see it after the lag."""
        self._history.append((self._clock.now(), records))

    def current(self) -> tuple[VmRecord, ...]:
        """Return the list as it was last set, without the lag."""
        return self._history[-1][1]

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform lists now."""
        shown_until = self._clock.now() - self.lag_s
        for since, records in reversed(self._history):
            if since <= shown_until:
                return Ok(records)
        return Ok(self._history[0][1])
