"""Store whose caller can be paused during a call."""

from collections.abc import Callable

from result import Result

from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import StoreEntry, StoreError


class InterruptedStore:
    """Runs hooks before and after the calls to a store.

    Parameters
    ----------
    store : FaultyStore
        The store.

    Attributes
    ----------
    before, after : dict of str to callable
        Hooks by kind of call, ``get`` or ``put_if``; each runs once, just before or
        after the next call of its kind.
    """

    __slots__ = ("_store", "before", "after")

    def __init__(self, store: FaultyStore) -> None:
        self._store = store
        self.before: dict[str, Callable[[], None]] = {}
        self.after: dict[str, Callable[[], None]] = {}

    def get(self, key: str) -> Result[StoreEntry | None, StoreError]:
        """Return the entry of one key, None if there is none, or the store's error."""
        return self._call_with_hooks("get", lambda: self._store.get(key))

    def scan(self, prefix: str) -> Result[tuple[StoreEntry, ...], StoreError]:
        """Return all entries below a prefix, or the store's error."""
        return self._store.scan(prefix)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write by compare-and-swap and return the new revision, or the error."""
        return self._call_with_hooks(
            "put_if", lambda: self._store.put_if(key, value, expected_revision, lease)
        )

    def _call_with_hooks(self, kind: str, call: Callable[[], Result]) -> Result:
        self.before.pop(kind, _no_hook)()
        result = call()
        self.after.pop(kind, _no_hook)()
        return result


def _no_hook() -> None:
    """Do nothing; used for calls without a hook."""
