"""Wrappers that add rate limits and faults to a store and to a VM list."""

from collections.abc import Callable

from result import Err, Result

from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.token_bucket import TokenBucket
from lacewingpond.store.base import (
    Store,
    StoreEntry,
    StoreError,
    StoreFailure,
    VmList,
    VmRecord,
    WatchBatch,
)
from lacewingpond.store.counts import CallCounts
from lacewingpond.util.clock import Clock

HANG_POLL_S = 0.05

STORE_UNAVAILABLE = StoreError(StoreFailure.UNAVAILABLE, "the store is unavailable")
RESPONSE_LOST = StoreError(StoreFailure.UNKNOWN, "the response was lost")
THROTTLED = StoreError(StoreFailure.THROTTLED, "the store's rate limit is exceeded")


class FaultyStore:
    """Counts calls, limits their rate and injects faults; implements `Store`.

    Parameters
    ----------
    store : Store
        Store that holds the values.
    clock : Clock
        Source of time for delays.
    faults : PlatformFaults
        Current faults; may be changed at any time.
    counts : CallCounts
        Number of calls by kind; may be shared.
    writes, reads : TokenBucket or None
        Rate limits, which may be shared; None means no limit.
    """

    __slots__ = ("_store", "_clock", "faults", "counts", "_writes", "_reads")

    def __init__(
        self,
        store: Store,
        clock: Clock,
        faults: PlatformFaults | None = None,
        counts: CallCounts | None = None,
        writes: TokenBucket | None = None,
        reads: TokenBucket | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self.faults = faults if faults is not None else PlatformFaults()
        self.counts = counts if counts is not None else CallCounts()
        self._writes = writes
        self._reads = reads

    def get(self, key: str) -> Result[StoreEntry | None, StoreError]:
        """Read one key; `Ok(None)` if it does not exist."""
        return self._read("get", lambda: self._store.get(key))

    def scan(self, prefix: str) -> Result[tuple[StoreEntry, ...], StoreError]:
        """Read all keys that start with `prefix`, in order."""
        return self._read("scan", lambda: self._store.scan(prefix))

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist)."""
        return self._write(
            "put_if",
            key,
            lambda: self._store.put_if(key, value, expected_revision, lease),
        )

    def delete_if(self, key: str, expected_revision: int) -> Result[int, StoreError]:
        """Delete `key` if its revision is `expected_revision`."""
        return self._write(
            "delete_if", key, lambda: self._store.delete_if(key, expected_revision)
        )

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        self.counts.waiting += 1
        try:
            return self._read(
                "watch", lambda: self._store.watch(prefix, after_revision, timeout_s)
            )
        finally:
            self.counts.waiting -= 1

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys attached to it are deleted when it expires."""
        return self._write("grant_lease", "", lambda: self._store.grant_lease(ttl_s))

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        return self._write("keep_alive", "", lambda: self._store.keep_alive(lease))

    def _read(self, kind: str, call: Callable[[], Result]) -> Result:
        error = self._admit(kind, self._reads)
        if error is not None:
            return Err(error)
        result = call()
        # A watch also fails if the outage began while it waited.
        return Err(STORE_UNAVAILABLE) if self.faults.outage else result

    def _write(self, kind: str, key: str, call: Callable[[], Result]) -> Result:
        error = self._admit(kind, self._writes)
        if error is not None:
            return Err(error)
        result = call()
        is_loss_due = self.faults.lose_answers > 0
        if is_loss_due and result.is_ok() and key.startswith(self.faults.lose_prefix):
            self.faults.lose_answers -= 1
            return Err(RESPONSE_LOST)
        return result

    def _admit(self, kind: str, bucket: TokenBucket | None) -> StoreError | None:
        self.counts.add(kind)
        if self.faults.delay_s > 0.0:
            self._clock.sleep(self.faults.delay_s)
        while self.faults.hang:
            self._clock.sleep(HANG_POLL_S)
        if self.faults.outage:
            return STORE_UNAVAILABLE
        if bucket is not None and not bucket.take():
            return THROTTLED
        return None


class FaultyVmList:
    """Counts reads of a VM list and injects its outage; implements `VmList`."""

    __slots__ = ("_vms", "faults", "counts")

    def __init__(
        self, vms: VmList, faults: PlatformFaults, counts: CallCounts | None = None
    ) -> None:
        self._vms = vms
        self.faults = faults
        self.counts = counts if counts is not None else CallCounts()

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform lists now."""
        self.counts.add("vms")
        if self.faults.list_outage:
            return Err(
                StoreError(StoreFailure.UNAVAILABLE, "the VM list is unavailable")
            )
        return self._vms.read()
