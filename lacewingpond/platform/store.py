"""Client for the HTTP API of the platform's store."""

from urllib.parse import urlencode

import msgspec
import urllib3
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewingpond.platform.names import ERA_HEADER
from lacewingpond.store.base import (
    NO_ERA,
    Listing,
    StoreEntry,
    StoreError,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)
from lacewingpond.util.strict_pool import StrictConnectionPool

CONNECT_TIMEOUT_S = 1.0  # connecting takes milliseconds, or hangs on a cut link
READ_TIMEOUT_S = 2.0  # the store responds in 4 ms, under load in 60 times as long
WATCH_TIMEOUT_MARGIN_S = 0.8  # ends a hung watch; proofs are valid for only 3.5 s
MAX_CONNECTIONS = 2  # a watch occupies one
MAX_ERA_DIGITS = 15
MAX_DETAIL_CHARS = 200  # of the log line of a failed call
MAX_PAGES = 1_000  # of 500 items; bounds a listing if the store never ends it
MAX_ANSWER_BYTES = 33_554_432  # pages have 1 MB; bounds an answer that never ends
_BLOCK_BYTES = 65_536

_NOT_SENT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


class _Item(Struct):
    """A key and its value; in a watch also the removal of a key."""

    key: str
    revision: int
    # Sent as standard base64 text.
    value: bytes = b""
    deleted: bool = False


class _RangePage(Struct, rename="kebab"):
    # The next page starts after the last key of this one.
    items: tuple[_Item, ...]
    current_rev: int
    more_pages: bool = False


class _WatchEvents(Struct, rename="kebab"):
    events: tuple[_Item, ...]
    current_rev: int


class _Lease(Struct):
    lease: int


class _Answer(Struct, frozen=True):
    """Body of an answer, and the store's era at that time."""

    body: bytes
    era: int


class _WriteResult(Struct):
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
    """Implements `ListingStore` with the platform's HTTP API.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    """

    __slots__ = ("_address", "_pool", "_has_answered")

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._pool = self._new_pool()
        # Whether a call on the present pool got an answer.
        self._has_answered = False

    def listing(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys that start with `prefix`, and the revision to watch from.

        The pages are not a snapshot, so the revision of the first one is returned:
        a watch from there repeats the changes made during the listing. Pages of two
        eras are no listing.
        """
        entries: list[StoreEntry] = []
        revision: int | None = None
        era = NO_ERA
        query: dict[str, str] = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            response = self._call("GET", f"/api/kv-range?{urlencode(query)}")
            page = _decode(response, _RangePage)
            if page.is_err():
                return page
            page_era = response.ok_value.era
            if revision is None:
                revision, era = page.ok_value.current_rev, page_era
            elif page_era != era:
                detail = f"the era changed from {era} to {page_era} between two pages"
                return Err(StoreError(StoreFailure.UNAVAILABLE, detail))
            entries.extend(
                StoreEntry(i.key, i.value, i.revision) for i in page.ok_value.items
            )
            if not page.ok_value.more_pages or not entries:
                break
            query["after"] = entries[-1].key
        last_revision = page.ok_value.current_rev
        return Ok(Listing(tuple(entries), revision, era, last_revision))

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait at most `timeout_s` for changes below `prefix` after a revision."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait-ms": int(timeout_s * 1000.0),
        }
        path = f"/api/kv-watch?{urlencode(query)}"
        response = self._call("GET", path, timeout_s=timeout_s + WATCH_TIMEOUT_MARGIN_S)
        batch = _decode(response, _WatchEvents)
        if batch.is_err():
            return batch
        events = tuple(
            WatchEvent(i.key, None if i.deleted else i.value, i.revision)
            for i in batch.ok_value.events
        )
        era = response.ok_value.era
        return Ok(WatchBatch(events, batch.ok_value.current_rev, era))

    def put(self, key: str, value: bytes, lease: str) -> Result[int, StoreError]:
        """Write `key` unconditionally, bound to `lease`; return the new revision."""
        change = _Transaction([_Put(key, value, int(lease))])
        response = self._call("POST", "/api/kv-txn", msgspec.json.encode(change))
        written = _decode(response, _WriteResult)
        return written.map(lambda result: result.revision)

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease and return its id; keys bound to it are removed with it."""
        body = msgspec.json.encode({"ttl_time": f"{int(ttl_s * 1000)}ms"})
        granted = _decode(self._call("POST", "/api/kv-lease", body), _Lease)
        return granted.map(lambda lease: str(lease.lease))

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease; a lapsed one gives `StoreFailure.CONFLICT`."""
        response = self._call("POST", f"/api/kv-keep/{int(lease)}")
        return response.map(lambda _: None)

    def end_lease(self, lease: str) -> Result[None, StoreError]:
        """End a lease, which removes its keys."""
        response = self._call("DELETE", f"/api/kv-lease-end/{int(lease)}")
        return response.map(lambda _: None)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Result[_Answer, StoreError]:
        headers = {"Content-Type": "application/json"} if body is not None else None
        pool = self._pool
        try:
            response = pool.request(
                method,
                path,
                body=body,
                headers=headers,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
            body = _read_body(response)
        except urllib3.exceptions.ReadTimeoutError as exc:
            failure = self._replace_silent(pool, method)
            return Err(StoreError(failure, type(exc).__name__))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(StoreError(_failure(method, exc), type(exc).__name__))
        self._has_answered = True
        if response.status == 200:
            era = _era(response.headers.get(ERA_HEADER))
            return era.map(lambda number: _Answer(body, number))
        failure = _FAILURE_BY_STATUS.get(response.status, StoreFailure.UNAVAILABLE)
        return Err(StoreError(failure, f"HTTP status {response.status}"))

    def _replace_silent(self, pool: StrictConnectionPool, method: str) -> StoreFailure:
        """Return what a call without an answer means, and close its pool.

        All open connections may have fallen silent, also those that are idle.
        """
        was_kept = self._has_answered
        if pool is self._pool:
            self._pool, self._has_answered = self._new_pool(), False
            pool.close()
        if method != "GET":
            return StoreFailure.UNKNOWN
        return StoreFailure.TIMED_OUT if was_kept else StoreFailure.UNAVAILABLE

    def _new_pool(self) -> StrictConnectionPool:
        host, port = self._address
        return StrictConnectionPool(
            host, port, maxsize=MAX_CONNECTIONS, block=False, retries=False
        )


_FAILURE_BY_STATUS = {
    404: StoreFailure.CONFLICT,  # no such lease
    410: StoreFailure.COMPACTED,
    412: StoreFailure.CONFLICT,
    413: StoreFailure.TOO_LARGE,
    429: StoreFailure.THROTTLED,
    503: StoreFailure.UNAVAILABLE,
}


def _failure(method: str, exc: Exception) -> StoreFailure:
    """Return what a call that got no response means for its caller."""
    if isinstance(exc, _NOT_SENT_ERRORS):
        return StoreFailure.UNAVAILABLE
    if method != "GET":
        return StoreFailure.UNKNOWN
    closed = isinstance(exc, urllib3.exceptions.ProtocolError)
    return StoreFailure.DISCONNECTED if closed else StoreFailure.UNAVAILABLE


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    urllib3.exceptions.HTTPError, OSError
        If it does not arrive, or is longer than `MAX_ANSWER_BYTES`.
    """
    blocks, size = [], 0
    for block in response.stream(_BLOCK_BYTES):
        blocks.append(block)
        size += len(block)
        if size > MAX_ANSWER_BYTES:
            response.close()
            raise urllib3.exceptions.ResponseError("the answer is too long")
    return b"".join(blocks)


def _era(text: str | None) -> Result[int, StoreError]:
    """Return the era that an answer states, `NO_ERA` if it states none."""
    if text is None:
        return Ok(NO_ERA)
    if text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS:
        return Ok(int(text))
    detail = f"{ERA_HEADER} is no number: {text[:MAX_ERA_DIGITS]!r}"
    # Whether a write took effect is not known then.
    return Err(StoreError(StoreFailure.UNKNOWN, detail))


def _decode(response: Result[_Answer, StoreError], body_type: type) -> Result:
    if response.is_err():
        return response
    try:
        return Ok(msgspec.json.decode(response.ok_value.body, type=body_type))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        detail = f"can't decode the response: {exc}"[:MAX_DETAIL_CHARS]
        return Err(StoreError(StoreFailure.UNKNOWN, detail))
