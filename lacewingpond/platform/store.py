"""The platform's store over HTTP."""

from urllib.parse import urlencode

import msgspec
import urllib3
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewingpond.store.base import (
    Entry,
    Listing,
    StoreError,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)

CONNECT_TIMEOUT_S = 1.0  # a connection opens in milliseconds; a cut one hangs
READ_TIMEOUT_S = 2.0  # the store answers in 4 ms, and 60 times slower when loaded
WATCH_SLACK_S = 0.8  # a cut watch hangs; the proof must be renewed within 3.5 s
MAX_CONNECTIONS = 2  # a watch holds one
MAX_PAGES = 1_000  # 500 items each; bounds a listing whose pages never end

_NOT_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


class _Item(Struct):
    """An item, or in a watch the notice that it was removed."""

    key: str
    revision: int
    # Standard base64 text.
    value: bytes = b""
    deleted: bool = False


class _Range(Struct, rename="kebab"):
    # The last key on the page is where the next one starts.
    items: tuple[_Item, ...]
    current_rev: int
    more_pages: bool = False


class _Events(Struct, rename="kebab"):
    events: tuple[_Item, ...]
    current_rev: int


class _Lease(Struct):
    lease: int


class _Written(Struct):
    revision: int


class _Put(Struct):
    key: str
    value: bytes
    lease: int


class _Transaction(Struct, rename="kebab"):
    puts: list[_Put]
    expected_rev: list[dict] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


class PlatformStore:
    """Implements `ListingStore` over the platform's calls.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    """

    __slots__ = ("_pool",)

    def __init__(self, host: str, port: int) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=MAX_CONNECTIONS, block=False, retries=False
        )

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, and where to watch from.

        Pages are not a snapshot, so the revision of the first one is returned:
        a watch from there repeats what changed meanwhile.
        """
        entries: list[Entry] = []
        revision: int | None = None
        query: dict[str, str] = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            answer = self._call("GET", f"/api/kv-range?{urlencode(query)}")
            page = _decoded(answer, _Range)
            if page.is_err():
                return page
            revision = page.ok_value.current_rev if revision is None else revision
            entries.extend(
                Entry(i.key, i.value, i.revision) for i in page.ok_value.items
            )
            if not page.ok_value.more_pages or not entries:
                break
            query["after"] = entries[-1].key
        return Ok(Listing(tuple(entries), revision or 0))

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait-ms": int(timeout_s * 1000.0),
        }
        path = f"/api/kv-watch?{urlencode(query)}"
        answer = self._call("GET", path, timeout_s=timeout_s + WATCH_SLACK_S)
        batch = _decoded(answer, _Events)
        if batch.is_err():
            return batch
        events = tuple(
            WatchEvent(i.key, None if i.deleted else i.value, i.revision)
            for i in batch.ok_value.events
        )
        return Ok(WatchBatch(events, batch.ok_value.current_rev))

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` whatever it held, bound to `lease`."""
        change = _Transaction([_Put(key, value, int(lease))])
        answer = self._call("POST", "/api/kv-txn", msgspec.json.encode(change))
        written = _decoded(answer, _Written)
        return written.map(lambda done: done.revision)

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it vanish when it lapses."""
        body = msgspec.json.encode({"ttl_time": f"{int(ttl_s * 1000)}ms"})
        granted = _decoded(self._call("POST", "/api/kv-lease", body), _Lease)
        return granted.map(lambda lease: str(lease.lease))

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        answer = self._call("POST", f"/api/kv-keep/{int(lease)}")
        return answer.map(lambda _: None)

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        answer = self._call("DELETE", f"/api/kv-lease-end/{int(lease)}")
        return answer.map(lambda _: None)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Result[bytes, StoreError]:
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            answer = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            not_sent = method == "GET" or isinstance(exc, _NOT_SENT)
            failure = StoreFailure.UNAVAILABLE if not_sent else StoreFailure.UNKNOWN
            return Err(StoreError(failure, type(exc).__name__))
        if answer.status == 200:
            return Ok(answer.data)
        failure = _FAILURES.get(answer.status, StoreFailure.UNAVAILABLE)
        return Err(StoreError(failure, f"status {answer.status}"))


_FAILURES = {
    404: StoreFailure.CONFLICT,  # no such lease
    410: StoreFailure.COMPACTED,
    412: StoreFailure.CONFLICT,
    413: StoreFailure.TOO_LARGE,
    429: StoreFailure.THROTTLED,
    503: StoreFailure.UNAVAILABLE,
}


def _decoded(answer: Result[bytes, StoreError], kind: type) -> Result:
    if answer.is_err():
        return answer
    try:
        return Ok(msgspec.json.decode(answer.ok_value, type=kind))
    except msgspec.MsgspecError as exc:
        return Err(StoreError(StoreFailure.UNKNOWN, f"unreadable answer: {exc}"))
