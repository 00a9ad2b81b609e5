"""Requests that a stand-in target processes."""

from collections.abc import Callable, Iterator

import bottle
from gevent.event import Event
from gevent.lock import Semaphore

from lacewingpond.standin.handler import CONNECTION_KEY
from lacewingpond.standin.target_faults import TargetFaults
from lacewingpond.standin.target_stats import TargetStats
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

LOAD_HEADER = "Lacewingpond-Load"
NAME_HEADER = "Lacewingpond-Target"
NOT_RUN_HEADER = "X-Not-Run"
DRAINING_HEADER = "X-Draining"
CRASH_HEADER = "X-Crash"
KEY_HEADERS = ("Authorization", "X-Api-Key", "Lacewingpond-Key")
DEADLINE_HEADERS = ("Lacewingpond-Deadline-Ms", "X-Deadline", "X-Request-Timeout")
REQUEST_ID_HEADER = "X-Request-Id"
MAX_RESPONSE_BYTES = 64_000_000
CHUNK_BYTES = 65_536


class TargetWork:
    """Processes requests in a limited number of slots and applies the faults.

    Parameters
    ----------
    faults : TargetFaults
        Faults of the target.
    stats : TargetStats
        Counts of the target.
    clock : Clock
        Source of time for the processing time.
    crash : callable
        Makes the target crash.
    """

    __slots__ = ("_faults", "_stats", "_clock", "_crash", "_slots", "_waiting")
    __slots__ += ("_running",)

    def __init__(
        self,
        faults: TargetFaults,
        stats: TargetStats,
        clock: Clock,
        crash: Callable[[], None],
    ) -> None:
        self._faults = faults
        self._stats = stats
        self._clock = clock
        self._crash = crash
        self._slots = Semaphore(faults.options.slots)
        self._waiting = 0
        self._running: dict[str, Event] = {}

    def add_routes(self, app: bottle.Bottle) -> None:
        """Serve all paths for which `app` has no other route."""
        app.route("/<path:path>", "ANY", self._handle)
        app.route("/", "ANY", self._handle)

    def load(self) -> float:
        """Return the load to report, as a share of the slots."""
        if self._faults.options.load_says >= 0.0:
            return self._faults.options.load_says
        return (self._stats.in_flight + self._waiting) / self._faults.options.slots

    def cancel(self, request_id: str) -> bool:
        """Cancel a request in progress; return whether there was one."""
        running = self._running.get(request_id)
        if running is None:
            return False
        self._stats.cancelled += 1
        running.set()
        return True

    def _handle(self, path: str = "") -> bytes | Iterator[bytes]:
        self._faults.hang_if_silent()
        self._stats.arrived += 1
        self._count_headers()
        bottle.response.set_header(NAME_HEADER, self._faults.options.name)
        if self._faults.should_shed(self._waiting):
            return self._shed()
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return self._run()
        finally:
            self._slots.release()

    def _shed(self) -> bytes:
        self._stats.shed += 1
        bottle.response.status = 503
        bottle.response.set_header(NOT_RUN_HEADER, "1")
        if self._faults.options.draining:
            bottle.response.set_header(DRAINING_HEADER, "1")
        bottle.response.set_header("Retry-After", "1")
        self._set_load_header()
        return b"not run\n"

    def _run(self) -> bytes | Iterator[bytes]:
        req = bottle.request
        self._stats.run += 1
        self._stats.last_work_at = self._clock.now()
        self._stats.in_flight += 1
        try:
            self._count_run()
            if req.headers.get(CRASH_HEADER):
                connection = req.environ[CONNECTION_KEY]
                self._crash()
                raise connection.drop_request()
            if self._faults.should_fail():
                return self._fail()
            return self._respond()
        finally:
            self._stats.in_flight -= 1

    def _fail(self) -> bytes:
        self._stats.failed += 1
        if self._faults.options.gray_way != "error":
            self._clock.sleep(self._faults.options.gray_delay_s)
        if self._faults.options.gray_way == "slow":
            return self._respond()
        self._set_load_header()
        bottle.response.status = 500
        return b"failed\n"

    def _respond(self) -> bytes | Iterator[bytes]:
        req = bottle.request
        body = req.body.read()
        base_s = self._query_float("work", self._faults.options.work_s)
        work_s = self._faults.work_s(base_s)
        events = self._query_float("events", 0.0)
        if events:
            bottle.response.content_type = "text/event-stream"
            return self._event_stream(int(events), work_s)
        if not self._work_for(work_s):
            bottle.response.status = 499
            return b"cancelled\n"
        self._set_load_header()
        size = int(min(self._query_float("size", -1.0), MAX_RESPONSE_BYTES))
        if size >= 0:
            bottle.response.set_header("Content-Length", str(size))
            return _body_chunks(size)
        bottle.response.content_type = req.content_type or "text/plain"
        return body

    def _work_for(self, work_s: float) -> bool:
        request_id = bottle.request.headers.get(REQUEST_ID_HEADER)
        if request_id is None:
            self._clock.sleep(work_s)
            return True
        cancelled = self._running.setdefault(request_id, Event())
        try:
            return not wait_for(cancelled, self._clock, work_s)
        finally:
            self._running.pop(request_id, None)

    def _event_stream(self, events: int, pause_s: float) -> Iterator[bytes]:
        for number in range(events):
            yield f"data: {number}\n\n".encode()
            self._clock.sleep(pause_s)

    def _set_load_header(self) -> None:
        bottle.response.set_header(LOAD_HEADER, f"{self.load():.3f}")

    def _count_headers(self) -> None:
        headers = bottle.request.headers
        present = [name for name in KEY_HEADERS if headers.get(name) is not None]
        self._stats.keys_seen += bool(present)
        for name in present:
            self._stats.key_headers.add(name)
        for name in DEADLINE_HEADERS:
            value = headers.get(name)
            if value is not None:
                self._stats.deadlines.add(f"{name}: {value}")

    def _count_run(self) -> None:
        headers = bottle.request.headers
        idempotency_key = headers.get("Idempotency-Key")
        if idempotency_key is not None:
            self._stats.idempotency_keys.add(idempotency_key)
        request_id = headers.get(REQUEST_ID_HEADER)
        if request_id is not None:
            self._stats.request_ids.add(request_id)

    def _query_float(self, name: str, default: float) -> float:
        try:
            return float(bottle.request.query.get(name, default))
        except ValueError:
            raise bottle.HTTPResponse(f"{name} is not a number", 400) from None


def _body_chunks(size: int) -> Iterator[bytes]:
    while size > 0:
        chunk = min(size, CHUNK_BYTES)
        yield b"x" * chunk
        size -= chunk
