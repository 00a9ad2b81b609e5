"""HTTP clients of the platform's store and VM list."""

from urllib.parse import quote, urlencode

import msgspec
import urllib3
from result import Err, Ok, Result

from lacewingpond.store.base import (
    MAX_VALUE_BYTES,
    StoreEntry,
    StoreError,
    StoreFailure,
    VmRecord,
    WatchBatch,
)
from lacewingpond.store.counts import CallCounts
from lacewingpond.store.options import StoreOptions
from lacewingpond.store.wire import (
    KV_PATH,
    LEASES_PATH,
    REVISION_HEADER,
    SCAN_PATH,
    VMS_PATH,
    WATCH_PATH,
)
from lacewingpond.util.strict_pool import StrictConnectionPool

READ_METHODS = frozenset({"GET"})

_NOT_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.EmptyPoolError,
)
"""Errors that urllib3 raises before it sends any byte of the request."""


class PlatformClient:
    """Sends calls to the platform and classifies their failures.

    Parameters
    ----------
    options : StoreOptions
        Address and timeouts.
    counts : CallCounts or None
        Counts the calls by kind; None creates new counts.
    """

    __slots__ = ("_options", "_pool", "counts")

    def __init__(self, options: StoreOptions, counts: CallCounts | None = None) -> None:
        host, _, port = options.address.rpartition(":")
        self._options = options
        self.counts = counts if counts is not None else CallCounts()
        self._pool = StrictConnectionPool(
            host,
            int(port),
            maxsize=options.max_connections,
            block=False,
            retries=False,
        )

    @classmethod
    def from_options(
        cls, options: StoreOptions, counts: CallCounts | None = None
    ) -> "PlatformClient":
        """Return a client, which connects on first use."""
        return cls(options, counts)

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        """Send one call and return its response.

        Parameters
        ----------
        kind : str
            Name under which the call is counted.
        method, path : str
            HTTP method, and path with query.
        body : bytes or None
            Body of the request.
        wait_s : float
            Added to the read timeout, in seconds.

        Returns
        -------
        Result[urllib3.BaseHTTPResponse, StoreError]
            The response if its status is 404 or below 400, else an error.
        """
        self.counts.add(kind)
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=self._options.connect_timeout_s,
                    read=self._options.read_timeout_s + wait_s,
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(StoreError(_failure_of(method, exc), type(exc).__name__))
        if response.status < 400 or response.status == 404:
            return Ok(response)
        return Err(_decode_error(method, response))

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _failure_of(method: str, exc: Exception) -> StoreFailure:
    # A read has no effect, so its outcome is never unknown.
    if method in READ_METHODS or isinstance(exc, _NOT_SENT):
        return StoreFailure.UNAVAILABLE
    return StoreFailure.UNKNOWN


def _decode_error(method: str, response: urllib3.BaseHTTPResponse) -> StoreError:
    try:
        return msgspec.msgpack.decode(response.data, type=StoreError)
    except msgspec.DecodeError:
        # The response may be from an intermediary, which can't tell whether the store
        # has executed the call.
        failure = _failure_of(method, ValueError())
        return StoreError(failure, f"HTTP status {response.status}")


class HttpStore:
    """HTTP client of the platform's store; implements `Store`."""

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_options(
        cls, options: StoreOptions, counts: CallCounts | None = None
    ) -> "HttpStore":
        """Return a store with its own connection pool."""
        return cls(PlatformClient.from_options(options, counts))

    def get(self, key: str) -> Result[StoreEntry | None, StoreError]:
        """Read one key; `Ok(None)` if it does not exist."""
        response = self._client.call("get", "GET", _kv_path(key))
        if response.is_err():
            return response
        if response.ok_value.status == 404:
            return Ok(None)
        revision = _revision(response.ok_value)
        if revision is None:
            return Err(_malformed_response(StoreFailure.UNAVAILABLE))
        return Ok(StoreEntry(key, response.ok_value.data, revision))

    def scan(self, prefix: str) -> Result[tuple[StoreEntry, ...], StoreError]:
        """Read all keys that start with `prefix`, in key order."""
        path = f"{SCAN_PATH}?{urlencode({'prefix': prefix})}"
        response = self._client.call("scan", "GET", path)
        return _decode_body(response, tuple[StoreEntry, ...], StoreFailure.UNAVAILABLE)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist)."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(
                StoreError(
                    StoreFailure.TOO_LARGE, f"a value of {len(value)} bytes is too long"
                )
            )
        query: dict[str, str] = {"expected": str(expected_revision)}
        if lease is not None:
            query["lease"] = lease
        path = f"{_kv_path(key)}?{urlencode(query)}"
        return _parse_revision(self._client.call("put_if", "PUT", path, value))

    def delete_if(self, key: str, expected_revision: int) -> Result[int, StoreError]:
        """Remove `key` if its revision is `expected_revision`."""
        path = f"{_kv_path(key)}?{urlencode({'expected': expected_revision})}"
        return _parse_revision(self._client.call("delete_if", "DELETE", path))

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait up to `timeout_s` for changes of keys with `prefix` after a revision."""
        query = {"prefix": prefix, "after": after_revision, "timeout": timeout_s}
        path = f"{WATCH_PATH}?{urlencode(query)}"
        response = self._client.call("watch", "GET", path, wait_s=timeout_s)
        return _decode_body(response, WatchBatch, StoreFailure.UNAVAILABLE)

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it are removed when it expires."""
        path = f"{LEASES_PATH}?{urlencode({'ttl': ttl_s})}"
        response = self._client.call("grant_lease", "POST", path)
        return _decode_body(response, str, StoreFailure.UNKNOWN)

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        path = f"{LEASES_PATH}/{quote(lease, safe='')}"
        response = self._client.call("keep_alive", "PUT", path)
        return _decode_body(response, None, StoreFailure.UNKNOWN)


class HttpVmList:
    """HTTP client of the platform's VM list; implements `VmList`."""

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_options(
        cls, options: StoreOptions, counts: CallCounts | None = None
    ) -> "HttpVmList":
        """Return a VM list with its own connection pool."""
        return cls(PlatformClient.from_options(options, counts))

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform currently lists."""
        response = self._client.call("vms", "GET", VMS_PATH)
        return _decode_body(response, tuple[VmRecord, ...], StoreFailure.UNAVAILABLE)


def _kv_path(key: str) -> str:
    return KV_PATH + quote(key)


def _revision(response: urllib3.BaseHTTPResponse) -> int | None:
    text = response.headers.get(REVISION_HEADER, "")
    return int(text) if text.isdecimal() else None


def _malformed_response(failure: StoreFailure) -> StoreError:
    return StoreError(failure, "malformed response")


def _parse_revision(
    response: Result[urllib3.BaseHTTPResponse, StoreError],
) -> Result[int, StoreError]:
    if response.is_err():
        return response
    revision = _revision(response.ok_value)
    if revision is None:
        return Err(_malformed_response(StoreFailure.UNKNOWN))
    return Ok(revision)


def _decode_body(
    response: Result[urllib3.BaseHTTPResponse, StoreError],
    kind: type,
    failure: StoreFailure,
) -> Result:
    if response.is_err():
        return response
    try:
        return Ok(msgspec.msgpack.decode(response.ok_value.data, type=kind))
    except msgspec.DecodeError:
        return Err(_malformed_response(failure))
