"""Tests of a whole entry daemon: start, readiness and planned stop."""

import random
from contextlib import ExitStack
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from entry_helper import FORMATS, KEY, entry_target, route
from path_helper import CLOCK, caller_server, connect, read_all
from stack_helper import NAMES, signed

from lacewingpond.entry.daemon import EntryDaemon
from lacewingpond.entry.hedging.policy import HedgeRefusal, SlowRequest
from lacewingpond.entry.settings import check_entry_settings
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

SETTINGS = {
    "vm": {
        "id": "vm-1",
        "failure_domain": "zone-a",
        "region": "region-1",
        "ip": "127.0.0.1",
    },
    "listen": {
        "callers": "127.0.0.1:0",
        "readiness": "127.0.0.1:0",
        "peer_ports": [0, 0],
    },
    "store": {"address": "127.0.0.1:1"},
    "bounds": {"stop_grace": "1500ms"},
}
REQUEST = (
    "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
    f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
).encode()


class BlockingTarget:
    """A target that responds after `release` is set."""

    def __init__(self):
        self.started = gevent.event.Event()
        self.release = gevent.event.Event()

    def handle(self, req):
        self.started.set()
        self.release.wait()
        return signed(req)


@pytest.fixture
def store():
    return MemoryStore(CLOCK)


class HeldClock(RuntimeClock):
    """The clock of the process, which stands still from `hold` to `release`."""

    def __init__(self):
        self._behind_s = 0.0
        self._held_at = None
        self._released = gevent.event.Event()
        self._released.set()

    def now(self):
        if self._held_at is not None:
            return self._held_at
        return super().now() - self._behind_s

    def sleep(self, seconds):
        end = self.now() + seconds
        gevent.sleep(seconds)
        self._released.wait()
        while (left_s := end - self.now()) > 0.0:
            gevent.sleep(left_s)
            self._released.wait()

    def hold(self):
        if self._held_at is None:
            self._held_at = self.now()
            self._released.clear()

    def release(self):
        if self._held_at is not None:
            self._behind_s = super().now() - self._held_at
            self._held_at = None
            self._released.set()


def new_daemon(store, clock, log):
    cfg = check_entry_settings(SETTINGS, "settings").unwrap()
    daemon = EntryDaemon(
        cfg, NAMES, FORMATS, "/ready", store, clock, random.Random(1), log
    )
    daemon.start()
    return daemon


@pytest.fixture
def daemon(store):
    daemon = new_daemon(store, CLOCK, RecordingDecisionLog())
    yield daemon
    daemon.close()


def ready_status(daemon):
    sock = connect(daemon._ready_server.port)
    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
    return int(read_all(sock).split(b" ")[1])


def configure(daemon, store, target):
    address = f"127.0.0.1:{target.port}"
    store.put("targets/t0", msgspec.json.encode(entry_target("t0", address)), "")
    store.put("config", b"1", "")
    with gevent.Timeout(10):
        while ready_status(daemon) != 200:
            gevent.sleep(0.02)


def test_daemon_without_a_configuration_is_not_ready(daemon):
    assert ready_status(daemon) == 503


# Neither settings nor configuration reached hedging: it stayed off, or knew no classes.
def test_hedging_follows_settings_and_configuration(daemon, store):
    hedging = daemon._pipeline._context.hedging
    assert not hedging.enabled
    with caller_server(signed) as target:
        configure(daemon, store, target)
    assert hedging.policy.classes == {"svc": frozenset({0})}
    changed = {**SETTINGS, "hedging": {"max_extra": 0.1}}
    daemon.apply_settings(check_entry_settings(changed, "settings").unwrap())
    assert hedging.enabled
    now = CLOCK.now()
    daemon._reporter.on_peer_rejection("svc", now)
    slow = SlowRequest(route(idempotent=True, max_attempts=2), "svc", 0, 1, 2.0, 0.1)
    assert hedging.policy.refusal(slow, 0.0, now) is HedgeRefusal.REJECTIONS


# Guards against settings that are read and not applied, at the start or at a reload.
def test_admission_is_off_until_the_settings_ask_for_it(daemon):
    assert not daemon._admission.options.enabled
    assert not daemon._reporter.uses_rejections
    section = {"enabled": True, "max_waiting": 5}
    changed = check_entry_settings({**SETTINGS, "admission": section}, "s").unwrap()
    daemon.apply_settings(changed)
    assert daemon._admission.options.max_waiting == 5
    assert daemon._reporter.uses_rejections
    assert daemon._pipeline._context.admission is daemon._admission


class HoldingLog(RecordingDecisionLog):
    """A log that holds a clock as a line is written."""

    def __init__(self, clock):
        super().__init__()
        self.clock, self.hold_at = clock, None

    def decision(self, what, which, why, **fields):
        super().decision(what, which, why, **fields)
        if what == self.hold_at:
            self.clock.hold()


# Guards against a planned stop that ends a request as it closes idle connections.
def test_planned_stop_lets_a_running_request_finish(store):
    clock, blocking = HeldClock(), BlockingTarget()
    daemon = new_daemon(store, clock, HoldingLog(clock))
    with ExitStack() as exits:
        exits.callback(daemon.close)
        exits.callback(clock.release)
        target = exits.enter_context(caller_server(blocking.handle))
        configure(daemon, store, target)
        busy, idle = connect(daemon.server.port), connect(daemon.server.port)
        busy.sendall(REQUEST)
        blocking.started.wait()
        daemon._log.hold_at = "idle"
        stopping = gevent.spawn(daemon.stop)
        gevent.sleep(0)
        assert ready_status(daemon) == 503
        assert idle.recv(1) == b""
        assert not daemon.server.refusing
        # The stop goes on only after the response, however late the processor is.
        blocking.release.set()
        response = read_all(busy)
        clock.release()
        assert response.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in response
        assert stopping.get() == 0


# A planned stop must name the requests that it aborts, with their targets.
def test_request_aborted_at_the_end_of_the_grace_is_logged(daemon, store):
    blocking = BlockingTarget()
    with caller_server(blocking.handle) as target:
        configure(daemon, store, target)
        busy = connect(daemon.server.port)
        busy.sendall(REQUEST)
        blocking.started.wait()
        assert daemon.stop() == 1
        cuts = [line for line in daemon._log.lines if line[0] == "cut"]
        response = read_all(busy)
        blocking.release.set()
    assert [(which, why) for _, which, why, _ in cuts] == [
        ("id-1", "end of the stop grace")
    ]
    assert cuts[0][3]["target"] == "t0"
    assert cuts[0][3]["run"] == "unknown"
    assert cuts[0][3]["left_ms"] > 0
    assert response.startswith(b"HTTP/1.1 504")
    assert b'"run":"unknown"' in response


# Guards against a request that no target has seen being lost instead of refused.
def test_request_that_was_not_sent_by_the_end_of_the_grace_is_refused_as_not_run(
    daemon, store
):
    seen, waiting = [], gevent.event.Event()

    def respond(req):
        seen.append(req.headers.get("X-Id"))
        return signed(req)

    def wait(timeout_s):
        waiting.set()
        gevent.sleep(30.0)

    with caller_server(respond) as target:
        configure(daemon, store, target)
        daemon._pipeline._freshness = SimpleNamespace(await_proof=wait)
        busy = connect(daemon.server.port)
        busy.sendall(REQUEST)
        waiting.wait()
        assert daemon.stop() == 1
        response = read_all(busy)
    assert response.startswith(b"HTTP/1.1 503")
    assert b'"run":"not-run"' in response
    assert seen == []


def test_request_during_the_balancer_notice_is_served_and_closes_its_connection(
    daemon, store
):
    with caller_server(signed) as target:
        configure(daemon, store, target)
        kept = connect(daemon.server.port)
        stopping = gevent.spawn(daemon.stop)
        gevent.sleep(0)
        kept.sendall(REQUEST)
        response = read_all(kept)
        assert response.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in response
        assert stopping.get() == 0
