"""The platform's store and VM list over HTTP."""

from urllib.parse import quote, urlencode

import msgspec
import urllib3
from result import Err, Ok, Result

from lacewingpond.store.base import (
    MAX_VALUE_BYTES,
    Entry,
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

READ_METHODS = frozenset({"GET"})

_NOT_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.EmptyPoolError,
)
"""Errors that urllib3 raises before it has sent a byte of the request."""


class PlatformClient:
    """Sends calls to the platform and sorts their failures.

    Parameters
    ----------
    options : StoreOptions
        Address and timeouts.
    counts : CallCounts or None
        Counts each call by kind.
    """

    __slots__ = ("_options", "_pool", "counts")

    def __init__(self, options: StoreOptions, counts: CallCounts | None = None) -> None:
        host, _, port = options.address.rpartition(":")
        self._options = options
        self.counts = counts if counts is not None else CallCounts()
        self._pool = urllib3.HTTPConnectionPool(
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
        """Return a client; it connects when it is first used."""
        return cls(options, counts)

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        """Send one call; an answer above 399 but 404 becomes an error.

        Parameters
        ----------
        kind : str
            Name under which the call is counted.
        method, path : str
            The request line.
        body : bytes or None
            Sent with the request.
        wait_s : float
            Added to the read timeout, in seconds.
        """
        self.counts.add(kind)
        try:
            answer = self._pool.request(
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
            return Err(StoreError(_failure(method, exc), type(exc).__name__))
        if answer.status < 400 or answer.status == 404:
            return Ok(answer)
        return Err(_refusal(method, answer))

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _failure(method: str, exc: Exception) -> StoreFailure:
    # A read has no effect, so its failure leaves nothing to find out.
    if method in READ_METHODS or isinstance(exc, _NOT_SENT):
        return StoreFailure.UNAVAILABLE
    return StoreFailure.UNKNOWN


def _refusal(method: str, answer: urllib3.BaseHTTPResponse) -> StoreError:
    try:
        return msgspec.msgpack.decode(answer.data, type=StoreError)
    except msgspec.DecodeError:
        # Only the store itself knows that it did nothing, not what is before it.
        failure = _failure(method, ValueError())
        return StoreError(failure, f"status {answer.status}")


class HttpStore:
    """The platform's store over HTTP; implements `Store`."""

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_options(
        cls, options: StoreOptions, counts: CallCounts | None = None
    ) -> "HttpStore":
        """Return a store with its own connections."""
        return cls(PlatformClient.from_options(options, counts))

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Read one key; `Ok(None)` when it does not exist."""
        answer = self._client.call("get", "GET", _kv_path(key))
        if answer.is_err():
            return answer
        if answer.ok_value.status == 404:
            return Ok(None)
        revision = _revision(answer.ok_value)
        if revision is None:
            return Err(_garbled(StoreFailure.UNAVAILABLE))
        return Ok(Entry(key, answer.ok_value.data, revision))

    def scan(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Read all keys that start with `prefix`, in order."""
        path = f"{SCAN_PATH}?{urlencode({'prefix': prefix})}"
        answer = self._client.call("scan", "GET", path)
        return _unpacked(answer, tuple[Entry, ...], StoreFailure.UNAVAILABLE)

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        """Write `key` if its revision is `expected_revision` (0: must not exist)."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(StoreError(StoreFailure.TOO_LARGE, f"{len(value)} bytes"))
        query: dict[str, str] = {"expected": str(expected_revision)}
        if lease is not None:
            query["lease"] = lease
        path = f"{_kv_path(key)}?{urlencode(query)}"
        return _written(self._client.call("put_if", "PUT", path, value))

    def delete_if(self, key: str, expected_revision: int) -> Result[int, StoreError]:
        """Remove `key` if its revision is `expected_revision`."""
        path = f"{_kv_path(key)}?{urlencode({'expected': expected_revision})}"
        return _written(self._client.call("delete_if", "DELETE", path))

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Wait for changes below `prefix` after a revision, at most `timeout_s`."""
        query = {"prefix": prefix, "after": after_revision, "timeout": timeout_s}
        path = f"{WATCH_PATH}?{urlencode(query)}"
        answer = self._client.call("watch", "GET", path, wait_s=timeout_s)
        return _unpacked(answer, WatchBatch, StoreFailure.UNAVAILABLE)

    def grant_lease(self, ttl_s: float) -> Result[str, StoreError]:
        """Create a lease; keys bound to it vanish when it lapses."""
        path = f"{LEASES_PATH}?{urlencode({'ttl': ttl_s})}"
        answer = self._client.call("grant_lease", "POST", path)
        return _unpacked(answer, str, StoreFailure.UNKNOWN)

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renew a lease."""
        path = f"{LEASES_PATH}/{quote(lease, safe='')}"
        answer = self._client.call("keep_alive", "PUT", path)
        return _unpacked(answer, None, StoreFailure.UNKNOWN)


class HttpVmList:
    """The platform's VM list over HTTP; implements `VmList`."""

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_options(
        cls, options: StoreOptions, counts: CallCounts | None = None
    ) -> "HttpVmList":
        """Return a list with its own connections."""
        return cls(PlatformClient.from_options(options, counts))

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return the VMs that the platform lists now."""
        answer = self._client.call("vms", "GET", VMS_PATH)
        return _unpacked(answer, tuple[VmRecord, ...], StoreFailure.UNAVAILABLE)


def _kv_path(key: str) -> str:
    return KV_PATH + quote(key)


def _revision(answer: urllib3.BaseHTTPResponse) -> int | None:
    text = answer.headers.get(REVISION_HEADER, "")
    return int(text) if text.isdecimal() else None


def _garbled(failure: StoreFailure) -> StoreError:
    return StoreError(failure, "the answer can't be read")


def _written(
    answer: Result[urllib3.BaseHTTPResponse, StoreError],
) -> Result[int, StoreError]:
    if answer.is_err():
        return answer
    revision = _revision(answer.ok_value)
    if revision is None:
        return Err(_garbled(StoreFailure.UNKNOWN))
    return Ok(revision)


def _unpacked(
    answer: Result[urllib3.BaseHTTPResponse, StoreError],
    kind: type,
    failure: StoreFailure,
) -> Result:
    if answer.is_err():
        return answer
    try:
        return Ok(msgspec.msgpack.decode(answer.ok_value.data, type=kind))
    except msgspec.DecodeError:
        return Err(_garbled(failure))
