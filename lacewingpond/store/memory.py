"""In-memory store and VM list, for the stand-in platform and for tests."""

from collections import OrderedDict, deque

from gevent.event import Event
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.store.base import (
    MAX_VALUE_BYTES,
    Listing,
    StoreEntry,
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
    """A lease and the keys bound to it."""

    __slots__ = ("ttl_s", "expires_at", "keys")

    def __init__(self, ttl_s: float, expires_at: float) -> None:
        self.ttl_s = ttl_s
        self.expires_at = expires_at
        self.keys: set[str] = set()


class StoreSnapshot(Struct, frozen=True):
    """Snapshot of a `MemoryStore`, to which it can be restored."""

    entries: tuple[StoreEntry, ...]
    revision: int


class MemoryStore:
    """In-memory key-value store; implements `Store` and `ListingStore`.

    A watch reports only the latest state of each changed key, in order of revision.
    A watch from a revision that the store has not reached returns immediately with
    the store's own, lower revision, so that clients notice a restored store.

    Parameters
    ----------
    clock : Clock
        Source of time for leases and watches.
    """

    __slots__ = (
        "_clock",
        "_entries",
        "_tombstones",
        "_leases",
        "_lease_by_key",
        "_revision",
    )
    __slots__ += ("_changed", "_lease_count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, StoreEntry] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._leases: dict[str, _Lease] = {}
        self._lease_by_key: dict[str, str] = {}
        self._revision = 0
        self._lease_count = 0
        self._changed = Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    def get(self, key: str) -> Result[StoreEntry | None, StoreError]:
        """Read one key; `Ok(None)` if it does not exist."""
        self._expire_leases()
        return Ok(self._entries.get(key))

    def scan(self, prefix: str) -> Result[tuple[StoreEntry, ...], StoreError]:
        """Read all keys that start with `prefix`, in key order."""
        self._expire_leases()
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return Ok(tuple(self._entries[key] for key in keys))

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, with the revision to watch from."""
        entries = self.scan(prefix)
        return entries.map(lambda found: Listing(found, self._revision))

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` unconditionally, bound to `lease`; return the new revision."""
        known = self._entries.get(key)
        revision = known.revision if known is not None else 0
        return self.put_if(key, value, revision, lease or None)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist)."""
        self._expire_leases()
        if len(value) > MAX_VALUE_BYTES:
            return Err(
                StoreError(
                    StoreFailure.TOO_LARGE, f"a value of {len(value)} bytes is too long"
                )
            )
        if lease is not None and lease not in self._leases:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has expired"))
        conflict = self._conflict(key, expected_revision)
        if conflict is not None:
            return Err(conflict)
        self._unbind(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._lease_by_key[key] = lease
        self._revision += 1
        self._entries[key] = StoreEntry(key, value, self._revision)
        self._tombstones.pop(key, None)
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
        """Wait up to `timeout_s` for changes of keys with `prefix` after a revision."""
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
            wait_for(changed, self._clock, min(left_s, self._next_expiry_s()))

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it are removed when it expires."""
        self._lease_count += 1
        name = f"lease-{self._lease_count}"
        self._leases[name] = _Lease(ttl_s, self._clock.now() + ttl_s)
        return Ok(name)

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease; an expired one is a `CONFLICT` error."""
        self._expire_leases()
        held = self._leases.get(lease)
        if held is None:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has expired"))
        held.expires_at = self._clock.now() + held.ttl_s
        return Ok(None)

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease and remove its keys; an expired one is a `CONFLICT` error."""
        held = self._leases.get(lease)
        if held is None:
            return Err(StoreError(StoreFailure.CONFLICT, f"lease {lease} has expired"))
        held.expires_at = self._clock.now()
        self._expire_leases()
        return Ok(None)

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot of all entries and the revision."""
        self._expire_leases()
        return StoreSnapshot(tuple(self._entries.values()), self._revision)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot, including its revision; all leases are dropped."""
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._revision = snapshot.revision
        self._tombstones.clear()
        self._leases.clear()
        self._lease_by_key.clear()
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
            for key, revision in self._tombstones.items()
            if revision > after and key.startswith(prefix)
        ]
        return tuple(sorted(events, key=lambda event: event.revision))

    def _remove(self, key: str) -> None:
        self._unbind(key)
        del self._entries[key]
        self._revision += 1
        self._tombstones[key] = self._revision
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)
        self._notify()

    def _unbind(self, key: str) -> None:
        lease = self._lease_by_key.pop(key, None)
        if lease in self._leases:
            self._leases[lease].keys.discard(key)

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _next_expiry_s(self) -> float:
        if not self._leases:
            return float("inf")
        first = min(lease.expires_at for lease in self._leases.values())
        return max(first - self._clock.now(), 0.001)

    def _expire_leases(self) -> None:
        now = self._clock.now()
        expired = [
            name for name, held in self._leases.items() if held.expires_at <= now
        ]
        for name in expired:
            held = self._leases.pop(name)
            for key in sorted(held.keys):
                self._remove(key)


class MemoryVmList:
    """In-memory VM list with a configurable lag; implements `VmList`.

    Parameters
    ----------
    clock : Clock
        Source of time for the lag.
    records : tuple of VmRecord
        Initial list, visible without lag.
    lag_s : float
        Time until a list that was set becomes visible to `read`, in seconds.
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
        """Replace the list; `read` returns it after the lag."""
        self._history.append((self._clock.now(), records))

    def current(self) -> tuple[VmRecord, ...]:
        """Return the list that was set last, without the lag."""
        return self._history[-1][1]

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform currently lists."""
        visible_until = self._clock.now() - self.lag_s
        for since, records in reversed(self._history):
            if since <= visible_until:
                return Ok(records)
        return Ok(self._history[0][1])
