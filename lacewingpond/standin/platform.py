"""Stand-in for the platform: its store and VM list over HTTP."""

import bottle
import msgspec
from msgspec import Struct
from result import Result

from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.faulty_store import FaultyStore, FaultyVmList
from lacewingpond.standin.handler import CONNECTION_KEY
from lacewingpond.standin.options import StandinPlatformOptions
from lacewingpond.standin.server import StandinServer
from lacewingpond.standin.token_bucket import TokenBucket
from lacewingpond.store.base import StoreError, StoreFailure, VmRecord
from lacewingpond.store.counts import CallCounts
from lacewingpond.store.memory import MemoryStore, MemoryVmList, StoreSnapshot
from lacewingpond.store.wire import (
    KV_PATH,
    LEASES_PATH,
    REVISION_HEADER,
    SCAN_PATH,
    VMS_PATH,
    WATCH_PATH,
)
from lacewingpond.util.clock import Clock

STATUS_BY_FAILURE = {
    StoreFailure.UNAVAILABLE: 503,
    StoreFailure.CONFLICT: 409,
    StoreFailure.TOO_LARGE: 413,
    StoreFailure.THROTTLED: 429,
}
MAX_WATCH_S = 60.0


class PlatformStats(Struct, frozen=True):
    """Response of ``/_stats``.

    Parameters
    ----------
    calls : dict of str to int
        Number of calls by kind.
    waiting : int
        Watches that wait now.
    revision : int
        Current revision of the store.
    """

    calls: dict[str, int]
    waiting: int
    revision: int


class StandinPlatform:
    """Serves a `MemoryStore` and a `MemoryVmList` over HTTP.

    Parameters
    ----------
    options : StandinPlatformOptions
        Address, rate limits and lag.
    clock : Clock
        Source of time for leases, watches, rate limits and delays.
    """

    __slots__ = (
        "store",
        "vms",
        "faults",
        "counts",
        "_faulty_store",
        "_vm_list",
        "_server",
    )
    __slots__ += ("_snapshot", "_options")

    def __init__(self, options: StandinPlatformOptions, clock: Clock) -> None:
        self._options = options
        self.store = MemoryStore(clock)
        self.vms = MemoryVmList(clock, lag_s=options.list_lag_s)
        self.faults = PlatformFaults(list_lag_s=options.list_lag_s)
        self.counts = CallCounts()
        self._faulty_store = FaultyStore(
            self.store,
            clock,
            self.faults,
            self.counts,
            TokenBucket(clock, options.writes_per_s, options.writes_per_s),
            TokenBucket(clock, options.reads_per_s, options.reads_per_s),
        )
        self._vm_list = FaultyVmList(self.vms, self.faults, self.counts)
        self._snapshot: StoreSnapshot | None = None
        self._server = StandinServer(
            options.host, options.port, self._build_app(), clock, no_delay=True
        )

    @classmethod
    def from_options(
        cls, options: StandinPlatformOptions, clock: Clock
    ) -> "StandinPlatform":
        """Return a platform that is not yet started."""
        return cls(options, clock)

    @property
    def port(self) -> int:
        """Port of the server, once started."""
        return self._server.server_port

    @property
    def address(self) -> str:
        """Address of the server as ``host:port``, once started."""
        return f"{self._options.host}:{self.port}"

    def start(self) -> None:
        """Start to listen; connections are served by greenlets."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.abort_connections()
        self._server.stop(timeout=0.2)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; an outage also closes all open connections."""
        for name in faults.__struct_fields__:
            setattr(self.faults, name, getattr(faults, name))
        self.vms.lag_s = faults.list_lag_s
        if faults.outage:
            self._server.abort_connections()

    def save_snapshot(self) -> None:
        """Save the store's content for `restore_snapshot`."""
        self._snapshot = self.store.snapshot()

    def restore_snapshot(self) -> bool:
        """Restore the saved content, an older revision; return False without one."""
        if self._snapshot is None:
            return False
        self.store.restore(self._snapshot)
        return True

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.catchall = False
        app.route(f"{KV_PATH}<key:path>", "GET", self._get)
        app.route(f"{KV_PATH}<key:path>", "PUT", self._put)
        app.route(f"{KV_PATH}<key:path>", "DELETE", self._delete)
        app.route(SCAN_PATH, "GET", self._scan)
        app.route(WATCH_PATH, "GET", self._watch)
        app.route(LEASES_PATH, "POST", self._grant_lease)
        app.route(f"{LEASES_PATH}/<lease>", "PUT", self._keep_alive)
        app.route(VMS_PATH, "GET", self._read_vms)
        app.route(VMS_PATH, "PUT", self._set_vms)
        app.route("/_stats", "GET", self._stats)
        app.route("/_control", "POST", self._control)
        app.route("/_control/keep-image", "POST", self._control_save_snapshot)
        app.route("/_control/come-back-older", "POST", self._control_restore_snapshot)
        return app

    def _get(self, key: str) -> bytes:
        result = self._faulty_store.get(key)
        if result.is_ok() and result.ok_value is None:
            bottle.response.status = 404
            return b""
        if result.is_ok():
            entry = result.ok_value
            bottle.response.set_header(REVISION_HEADER, str(entry.revision))
            return entry.value
        return self._error_response(result.err_value)

    def _put(self, key: str) -> bytes:
        value = bottle.request.body.read()
        expected = self._query_int("expected")
        lease = bottle.request.query.get("lease")
        return self._revision_response(
            self._faulty_store.put_if(key, value, expected, lease)
        )

    def _delete(self, key: str) -> bytes:
        return self._revision_response(
            self._faulty_store.delete_if(key, self._query_int("expected"))
        )

    def _scan(self) -> bytes:
        return self._msgpack_response(
            self._faulty_store.scan(bottle.request.query.get("prefix", ""))
        )

    def _watch(self) -> bytes:
        prefix = bottle.request.query.get("prefix", "")
        timeout_s = min(self._query_float("timeout"), MAX_WATCH_S)
        return self._msgpack_response(
            self._faulty_store.watch(prefix, self._query_int("after"), timeout_s)
        )

    def _grant_lease(self) -> bytes:
        return self._msgpack_response(
            self._faulty_store.grant_lease(self._query_float("ttl"))
        )

    def _keep_alive(self, lease: str) -> bytes:
        return self._msgpack_response(self._faulty_store.keep_alive(lease))

    def _read_vms(self) -> bytes:
        return self._msgpack_response(self._vm_list.read())

    def _set_vms(self) -> bytes:
        body = bottle.request.body.read()
        self.vms.set(self._decode_json(body, tuple[VmRecord, ...]))
        return b""

    def _stats(self) -> bytes:
        stats = PlatformStats(
            self.counts.by_kind, self.counts.waiting, self.store.revision
        )
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(stats)

    def _control(self) -> bytes:
        body = bottle.request.body.read()
        self.set_faults(self._decode_json(body, PlatformFaults))
        return b""

    def _control_save_snapshot(self) -> bytes:
        self.save_snapshot()
        return b""

    def _control_restore_snapshot(self) -> bytes:
        if not self.restore_snapshot():
            raise bottle.HTTPResponse("no snapshot of the store was saved", 409)
        return b""

    def _revision_response(self, result: Result[int, StoreError]) -> bytes:
        if result.is_err():
            return self._error_response(result.err_value)
        bottle.response.set_header(REVISION_HEADER, str(result.ok_value))
        return b""

    def _msgpack_response(self, result: Result) -> bytes:
        if result.is_err():
            return self._error_response(result.err_value)
        bottle.response.content_type = "application/msgpack"
        return msgspec.msgpack.encode(result.ok_value)

    def _error_response(self, error: StoreError) -> bytes:
        if error.failure is StoreFailure.UNKNOWN:
            raise bottle.request.environ[CONNECTION_KEY].drop_request()
        bottle.response.status = STATUS_BY_FAILURE[error.failure]
        bottle.response.content_type = "application/msgpack"
        return msgspec.msgpack.encode(error)

    def _query_int(self, name: str) -> int:
        return int(self._query_float(name))

    def _query_float(self, name: str) -> float:
        try:
            return float(bottle.request.query.get(name, ""))
        except ValueError:
            raise bottle.HTTPResponse(f"{name} is not a number", 400) from None

    def _decode_json(self, body: bytes, kind: type) -> object:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as exc:
            raise bottle.HTTPResponse(str(exc), 400) from None
