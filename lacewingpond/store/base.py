"""Interfaces of the platform's store and VM list."""

from enum import Enum
from typing import Protocol

from msgspec import Struct
from result import Result

MAX_VALUE_BYTES = 1_000_000


class StoreFailure(Enum):
    """Why a call to the store gave no answer that can be used."""

    UNAVAILABLE = "unavailable"
    """The call provably had no effect."""
    UNKNOWN = "unknown"
    """The call may have taken effect; read back to find out."""
    CONFLICT = "conflict"
    """Compare-and-swap found another revision than the expected one."""
    TOO_LARGE = "too-large"
    THROTTLED = "throttled"
    COMPACTED = "compacted"
    """The changes after the revision of a watch are no longer kept."""


class StoreError(Struct, frozen=True):
    """A failed call and its reason."""

    failure: StoreFailure
    detail: str = ""


class Entry(Struct, frozen=True):
    """A value and the store revision that wrote it.

    Parameters
    ----------
    key : str
        Name of the value.
    value : bytes
        At most `MAX_VALUE_BYTES` long.
    revision : int
        Store-wide revision of the last write to `key`; rises with each write.
    """

    key: str
    value: bytes
    revision: int


class WatchEvent(Struct, frozen=True):
    """A change of one key; `value` is None for a removed key."""

    key: str
    value: bytes | None
    revision: int


class WatchBatch(Struct, frozen=True):
    """Changes in order, and the revision to resume from."""

    events: tuple[WatchEvent, ...]
    revision: int


class Listing(Struct, frozen=True):
    """All entries below a prefix, and the revision to watch from."""

    entries: tuple[Entry, ...]
    revision: int


class ListingStore(Protocol):
    """What the entry daemon needs of the platform's key-value service."""

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, and where to watch from."""
        ...

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        ...

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` whatever it held, bound to `lease`."""
        ...

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it vanish when it lapses."""
        ...

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        ...

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        ...


class Store(Protocol):
    """The platform's key-value service."""

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Read one key; `Ok(None)` when it does not exist."""
        ...

    def scan(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Read all keys that start with `prefix`, in order."""
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
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        ...

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it vanish when it lapses."""
        ...

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        ...


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(Struct, frozen=True):
    """A VM as the platform lists it; the list lags behind the truth.

    Parameters
    ----------
    vm_id : str
        Never used again for another VM.
    address : str
        ``host:port`` of the VM's listener for peers.
    failure_domain, region : str
        Where the VM runs.
    state : VmState
        Live or leaving.
    """

    vm_id: str
    address: str
    failure_domain: str
    region: str = ""
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform lists now."""
        ...
