"""Interfaces of the platform's store and VM list."""

from enum import Enum
from typing import Protocol

from msgspec import Struct
from result import Result

MAX_VALUE_BYTES = 1_000_000
NO_ERA = -1  # of a store that states none


class StoreFailure(Enum):
    """Why a call to the store failed, and whether it may have had an effect."""

    UNAVAILABLE = "unavailable"
    """The call provably had no effect."""
    DISCONNECTED = "disconnected"
    """The store closed the connection of a read before it responded."""
    TIMED_OUT = "timed-out"
    """A read got no response on a connection that had carried others, and may have
    fallen silent. The next call opens a new one."""
    UNKNOWN = "unknown"
    """The call may have taken effect; only reading back tells."""
    CONFLICT = "conflict"
    """Compare-and-swap found another revision than the expected one, or the lease of
    the call has lapsed."""
    TOO_LARGE = "too-large"
    THROTTLED = "throttled"
    COMPACTED = "compacted"
    """The store no longer has the changes after the watch's revision."""


class StoreError(Struct, frozen=True):
    """Why a call to the store failed."""

    failure: StoreFailure
    detail: str = ""


class StorePosition(Struct, frozen=True, order=True):
    """A point in the history of the store; eras order before revisions.

    A store that comes back from an older copy begins a new era, in which revisions are
    given out again. Revisions of different eras can't be compared.

    Parameters
    ----------
    era : int
        Number of the history; rises each time that the store goes back.
    revision : int
        Revision within it.
    """

    era: int = NO_ERA
    revision: int = 0


class StoreEntry(Struct, frozen=True):
    """A value and the store revision that wrote it.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value, at most `MAX_VALUE_BYTES` long.
    revision : int
        Revision of the last write to `key`. Revisions are store-wide and increase
        with each write.
    """

    key: str
    value: bytes
    revision: int


class WatchEvent(Struct, frozen=True):
    """A change of one key; `value` is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


class WatchBatch(Struct, frozen=True):
    """Changes in order of revision, and the revision to resume the watch from."""

    events: tuple[WatchEvent, ...]
    revision: int
    era: int = NO_ERA

    @property
    def position(self) -> StorePosition:
        """Position up to which the changes go."""
        return StorePosition(self.era, self.revision)


class Listing(Struct, frozen=True):
    """All entries with a key prefix, and the revision to start a watch from.

    Parameters
    ----------
    entries : tuple of StoreEntry
        The entries. They may show changes after `revision` in part.
    revision : int
        Revision from which a watch goes on.
    era : int
        Era of `revision`.
    last_revision : int
        Revision up to which the entries may show changes; 0 if that is `revision`.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    era: int = NO_ERA
    last_revision: int = 0

    @property
    def position(self) -> StorePosition:
        """Position from which a watch goes on."""
        return StorePosition(self.era, self.revision)


class ListingStore(Protocol):
    """The operations of the platform's key-value service used by the entry daemon."""

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, with the revision to watch from."""
        ...

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait up to `timeout_s` for changes of keys with `prefix` after a revision."""
        ...

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` unconditionally, bound to `lease`; return the new revision."""
        ...

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it are removed when it expires."""
        ...

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        ...

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        ...


class Store(Protocol):
    """The platform's key-value service."""

    def get(self, key: str) -> Result[StoreEntry | None, StoreError]:
        """Read one key; `Ok(None)` if it does not exist."""
        ...

    def scan(self, prefix: str) -> Result[tuple[StoreEntry, ...], StoreError]:
        """Read all keys that start with `prefix`, in key order."""
        ...

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist).

        Returns
        -------
        Result[int, StoreError]
            The new revision.
        """
        ...

    def delete_if(self, key: str, expected_revision: int) -> Result[int, StoreError]:
        """Remove `key` if its revision is `expected_revision`."""
        ...

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait up to `timeout_s` for changes of keys with `prefix` after a revision.

        A store that was restored to a state before `after_revision` returns at once
        with its own, lower revision.
        """
        ...

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it are removed when it expires."""
        ...

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        ...


class VmState(Enum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(Struct, frozen=True):
    """An entry of the platform's VM list, which lags behind the actual state.

    Parameters
    ----------
    vm_id : str
        Id of the VM; never reused for another VM.
    address : str
        ``host:port`` of the VM's listener for peers.
    failure_domain, region : str
        Location of the VM.
    state : VmState
        Live or leaving.
    """

    vm_id: str
    address: str
    failure_domain: str
    region: str = ""
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """The platform's list of VMs, which lags behind the actual state."""

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform currently lists."""
        ...
