"""Tests of the end of a drain: what becomes of the requests that still run."""

import time
from contextlib import suppress

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st
from path_helper import caller_server, connect, read_all

from lacewingpond.http.drain_plan import (
    ANSWER_S,
    SETTLE_S,
    DrainPhase,
    DrainPlan,
)
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.response import Response

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
OPTIONS = HttpOptions(drain_idle_s=0.3, drain_head_s=0.6)


@pytest.mark.parametrize(
    ("passed_s", "phase"),
    [
        (0.0, DrainPhase.ACCEPTING),
        (0.3, DrainPhase.CLOSING_IDLE),
        (0.6, DrainPhase.REFUSING),
        (2.0, DrainPhase.ANSWERING),
        (2.0 + SETTLE_S + ANSWER_S, DrainPhase.ENDED),
    ],
)
def test_phases_begin_in_their_order(passed_s, phase):
    plan = DrainPlan.from_options(OPTIONS, 100.0, 2.0)
    assert plan.phase(100.0 + passed_s + 1e-6) is phase
    assert plan.phase(100.0 + passed_s - 1e-6) == max(phase - 1, 0)


# Guards against phases that a short grace leaves out of order.
@given(st.floats(0.0, 10.0), st.lists(st.floats(0.0, 12.0), max_size=20))
def test_phases_never_go_back(grace_s, times):
    plan = DrainPlan.from_options(OPTIONS, 0.0, grace_s)
    phases = [plan.phase(at) for at in sorted(times)]
    assert phases == sorted(phases)
    for at, phase in zip(sorted(times), phases, strict=True):
        assert (phase >= DrainPhase.ANSWERING) == (at >= grace_s)


# Guards against a caller who learns nothing of a request that was read.
@pytest.mark.parametrize("grace_s", [0.0, 0.1])
def test_caller_of_a_request_that_runs_at_the_end_is_told_so(grace_s):
    started, ended = Event(), Event()

    def respond(req):
        started.set()
        try:
            gevent.sleep(30.0)
        finally:
            ended.set()

    with caller_server(respond) as server, connect(server.port) as sock:
        sock.sendall(GET)
        started.wait()
        assert server.drain(grace_s) == 1
        response = read_all(sock)
    assert ended.is_set()
    assert response.startswith(b"HTTP/1.1 504")
    assert b"Connection: close" in response
    assert b'"run":"unknown"' in response
    assert [(line[0], line[2]) for line in server.log.lines] == [
        ("cut", "end of the drain")
    ]


# Guards against a response that has begun being replaced or followed by another one.
def test_response_that_has_begun_is_cut_and_not_replaced():
    started = Event()

    def body():
        yield b"first"
        started.set()
        gevent.sleep(30.0)

    with (
        caller_server(lambda req: Response(200, body=body())) as server,
        connect(server.port) as sock,
    ):
        sock.sendall(GET)
        started.wait()
        assert server.drain(0.05) == 1
        response = read_all(sock)
    assert response.count(b"HTTP/1.1") == 1
    assert response.endswith(b"5\r\nfirst\r\n")


# Guards against a late processor: what has arrived by the end is still passed on.
def test_response_is_passed_on_although_the_processor_was_late_for_the_end():
    started, release = Event(), Event()

    def respond(req):
        started.set()
        release.wait()
        return Response(200, body=b"done")

    with caller_server(respond) as server, connect(server.port) as sock:
        sock.sendall(GET)
        started.wait()
        draining = gevent.spawn(server.drain, 0.1)
        gevent.sleep(0.05)
        release.set()
        time.sleep(0.2)
        assert draining.get() == 0
        assert read_all(sock).endswith(b"done")


STEPS = st.lists(
    st.sampled_from(["connect", "send", "half", "finish", "release", "wait", "stop"]),
    max_size=14,
)


class Exchanges:
    """Connections that each send at most one request, beside a drain."""

    def __init__(self, server):
        self.server = server
        self.socks = []
        self.sent = set()
        self.halves = []
        self.running = []
        self.finished = set()
        self.draining = None

    def handle(self, req):
        release = Event()
        self.running.append(release)
        release.wait()
        self.finished.add(req.headers.get("X-Id"))
        return Response(200, body=req.headers.get("X-Id").encode())

    def connect(self):
        if self.draining is None:
            self.socks.append(connect(self.server.port))

    def send(self, half=False):
        for number, sock in enumerate(self.socks):
            if number not in self.sent:
                self.sent.add(number)
                raw = b"GET / HTTP/1.1\r\nHost: a\r\nX-Id: %d\r\n" % number
                self.write(sock, raw if half else raw + b"\r\n")
                if half:
                    self.halves.append(sock)
                return

    def half(self):
        self.send(half=True)

    def finish(self):
        if self.halves:
            self.write(self.halves.pop(), b"\r\n")

    def write(self, sock, raw):
        # The drain may have closed the connection, which had no request then.
        with suppress(OSError):
            sock.sendall(raw)

    def release(self):
        if self.running:
            self.running.pop(0).set()

    def wait(self):
        gevent.sleep(0.01)

    def stop(self):
        if self.draining is None:
            self.draining = gevent.spawn(self.server.drain, 0.05)


def read_response(sock):
    try:
        return read_all(sock)
    except OSError:
        return b""


# Guards against requests that were read and get neither a whole response nor a trace.
@settings(max_examples=40)
@given(STEPS)
def test_each_request_that_was_read_gets_a_whole_response(steps):
    with caller_server(
        lambda req: exchanges.handle(req), drain_idle_s=0.01, drain_head_s=0.03
    ) as server:
        exchanges = Exchanges(server)
        for step in steps:
            getattr(exchanges, step)()
            gevent.sleep(0.001)
        exchanges.stop()
        exchanges.draining.get(timeout=5.0)
        responses = [read_response(sock) for sock in exchanges.socks]
        for sock in exchanges.socks:
            sock.close()
    read = {n for n, raw in enumerate(responses) if raw}
    assert {int(each) for each in exchanges.finished} <= read
    assert len(read) >= len(exchanges.finished) + len(exchanges.running)
    for number, raw in enumerate(responses):
        assert raw.count(b"HTTP/1.1 ") <= 1
        if raw.startswith(b"HTTP/1.1 200"):
            assert raw.endswith(b"%d" % number)
        elif raw:
            assert raw[9:12] in (b"503", b"504")
            assert raw.endswith(b"}")
