"""Tests that cancelling either of two attempts leaves nothing behind."""

import socket
from contextlib import ExitStack

import gevent
import pytest
from entry_helper import config, entry_target, route
from gevent.event import Event
from msgspec import structs
from path_helper import CLOCK, caller_server, connect, raw_target
from stack_helper import Stack, placer_with, raw_request, running, signed
from test_entry_hedge import after, busy, in_parts, in_turn

from lacewingpond.entry.targets.health import ERROR_EVIDENCE
from lacewingpond.entry.targets.latency import RouteLatency
from lacewingpond.entry.targets.overdue import LEVELS
from lacewingpond.targets import http_connection
from lacewingpond.util.sockets import SocketState, set_stream_options, socket_state

BODY = 900_000  # buffered by the daemon, longer than a small receive buffer
TIMEOUT_S = 2.0
OVERDUE_S = RouteLatency(route().target_latency_s).exceeded_by(LEVELS[0])


@pytest.fixture
def exits():
    with ExitStack() as stack:
        yield stack


def start(exits, *addresses, suspect=True, **fields):
    """Return a stack that tries the targets in order; the first one may be suspect."""
    only = route(**{"idempotent": True, "timeout_s": TIMEOUT_S, **fields})
    stack = exits.enter_context(running(Stack(config(routes=(only,)))))
    names = [f"t{number}" for number in range(len(addresses))]
    for name, address in zip(names, addresses, strict=True):
        stack.add_target(entry_target(name, address))
    if suspect:
        stack.table.get("t0").health.add(CLOCK.now(), 0, ERROR_EVIDENCE, 0)

    def pick(service, tried, retryable, limited=()):
        left = [name for name in names if name not in tried]
        return stack.table.get(left[0]) if left else None

    context = stack.pipeline._context
    placer = placer_with(context.placer, pick)
    stack.pipeline._context = structs.replace(context, placer=placer)
    return stack


def address(exits, respond):
    return f"127.0.0.1:{exits.enter_context(caller_server(respond)).port}"


def assert_nothing_left(stack):
    assert busy(stack) == 0
    assert [pool._opening for pool in stack.client._pools] == [0] * len(
        stack.client._pools
    )
    assert [state.in_flight for state in stack.table.all()] == [0] * len(
        stack.table.all()
    )
    assert not stack.pipeline.running


# The caller leaves while two targets work on its request: both must be freed soon.
def test_caller_that_leaves_frees_both_targets(exits):
    gone = []

    def work(req):
        while not req.is_disconnected():
            gevent.sleep(0.02)
        gone.append(CLOCK.now())
        return signed(req)

    respond = in_turn(work)
    stack = start(exits, address(exits, respond), address(exits, respond))
    sock = connect(stack.server.port)
    sock.sendall(raw_request("id-1"))
    gevent.sleep(TIMEOUT_S / 2 + 0.3)
    assert len(respond.arrived) == 2
    left = CLOCK.now()
    sock.close()
    gevent.sleep(0.6)
    assert len(gone) == 2
    assert max(gone) - left < 0.5
    assert_nothing_left(stack)


# The first target responds while the second attempt still connects.
def test_second_attempt_that_connects_is_cancelled_without_a_trace(exits):
    full = exits.enter_context(socket.socket())
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    port = full.getsockname()[1]
    queued = [exits.enter_context(socket.socket()) for _ in range(3)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
    gevent.sleep(0.1)
    first = address(exits, after(OVERDUE_S + 0.2))
    stack = start(exits, first, f"127.0.0.1:{port}")
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(OVERDUE_S + 0.15)
    assert sum(pool._opening for pool in stack.client._pools) == 1
    assert call.get()[0] == 200
    gevent.sleep(0.05)
    assert_nothing_left(stack)


# The first target responds while the second attempt sends a body that is not read.
def test_second_attempt_that_sends_is_cancelled_without_a_trace(exits, monkeypatch):
    def small_buffer(sock, *args):
        set_stream_options(sock, *args)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)

    monkeypatch.setattr(http_connection, "set_stream_options", small_buffer)
    accepted, closed = Event(), Event()

    def never_reads(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        accepted.set()
        gevent.sleep(0.6)
        while sock.recv(65536):
            pass
        closed.set()

    def first(req):
        b"".join(req.body)
        gevent.sleep(TIMEOUT_S / 2 + 0.3)
        return signed(req)

    second = exits.enter_context(raw_target(never_reads))
    stack = start(exits, address(exits, first), second.address)
    call = gevent.spawn(stack.call, body=b"x" * BODY)
    gevent.sleep(TIMEOUT_S / 2 + 0.25)
    assert accepted.is_set()
    (sending,) = [
        conn
        for pool in stack.client._pools
        if pool.address == second.address
        for conn in pool._busy
    ]
    assert 0 < sending.bytes_sent < BODY
    assert call.get()[0] == 200
    gevent.sleep(0.05)
    assert_nothing_left(stack)
    assert closed.wait(2.0)


# The first target responds while the second one is in the middle of its own response.
def test_second_attempt_that_reads_a_response_is_cancelled_without_a_trace(exits):
    first = address(exits, after(TIMEOUT_S / 2 + 0.3))
    second = address(exits, in_parts((0.0, 1000), (0.9, 1000)))
    stack = start(exits, first, second)
    status, _, body = stack.call("GET")
    assert (status, body) == (200, b"done")
    gevent.sleep(0.05)
    assert_nothing_left(stack)


# Bytes of the next request have arrived when the drain closes idle connections: they
# must not be dropped with the connection that carries them.
def test_half_received_request_is_served_in_a_drain(exits):
    stack = start(exits, address(exits, signed))
    options = structs.replace(stack.server.options, drain_idle_s=0.1, drain_head_s=1.5)
    stack.server.options = options
    sock = connect(stack.server.port)
    raw = raw_request("id-1")
    sock.sendall(raw[:20])
    gevent.sleep(0.1)
    draining = gevent.spawn(stack.server.drain, 2.0)
    gevent.sleep(0.4)
    assert socket_state(sock) is SocketState.NO_DATA
    sock.sendall(raw[20:])
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    sock.close()
    assert draining.get() == 0
