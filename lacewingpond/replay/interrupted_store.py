"""A store whose caller may stand still in the middle of a call."""

from collections.abc import Callable

from result import Result

from lacewingpond.standin.faulty import FaultyStore
from lacewingpond.store.base import Entry, StoreError


class InterruptedStore:
    """A store during whose calls the calling process may be paused.

    Attributes
    ----------
    before, after : dict of str to callable
        Run once, just before or after the next call of that kind, ``get`` or
        ``put_if``.
    """

    __slots__ = ("_store", "before", "after")

    def __init__(self, store: FaultyStore) -> None:
        self._store = store
        self.before: dict[str, Callable[[], None]] = {}
        self.after: dict[str, Callable[[], None]] = {}

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Read one key."""
        return self._interrupted("get", lambda: self._store.get(key))

    def scan(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Read all keys below a prefix."""
        return self._store.scan(prefix)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write by compare-and-swap."""
        return self._interrupted(
            "put_if", lambda: self._store.put_if(key, value, expected_revision, lease)
        )

    def _interrupted(self, kind: str, call: Callable[[], Result]) -> Result:
        self.before.pop(kind, _nothing)()
        result = call()
        self.after.pop(kind, _nothing)()
        return result


def _nothing() -> None:
    """Let the call pass."""
