"""Tests of targets that send bytes without end, through a whole request path."""

import tracemalloc
from contextlib import ExitStack, contextmanager

import gevent
import pytest
from entry_helper import config, entry_target, route
from fleet_helper import call_through
from path_helper import raw_target, read_head
from stack_helper import Stack, parse_response, raw_request, running

from lacewingpond.entry.requests.forwarded_body import ForwardedBody, read_response
from lacewingpond.entry.requests.read_ahead import ReadAhead
from lacewingpond.http.headers import Headers

BLOCK = b"x" * 65_536
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
FIELD = b"X-Field: " + b"y" * 50_000 + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
STRAY = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Id: id-1\r\nX-Not-Run: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"Content-Length: 999999999999\r\n\r\n"
MAX_GROWTH_BYTES = 4_000_000
DEADLINE_MS = "600"

HEADS = {
    "no response": (b"", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "one field": (HEAD + b"X-Field: ", BLOCK),
    "fields": (HEAD, FIELD),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n" + FIELD + b"\r\n"),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"X-Field: y\r\n"),
    "chunk line": (HEAD + CHUNKED, BLOCK),
    "stray body": (STRAY + LONG, BLOCK),
    "stray chunks": (STRAY + CHUNKED, CHUNK),
    "stray responses": (b"", STRAY + b"Content-Length: 1\r\n\r\nx"),
}
BODIES = {
    "length": (HEAD + LONG, BLOCK),
    "chunks": (HEAD + CHUNKED, CHUNK),
    "one chunk": (HEAD + CHUNKED + b"fffffffffff\r\n", BLOCK),
    "no length": (HEAD + b"\r\n", BLOCK),
}


def endless(start, block, closed=None):
    def serve(sock):
        read_head(sock)
        try:
            sock.sendall(start)
            while True:
                sock.sendall(block)
                gevent.sleep(0)
        except OSError:
            if closed is not None:
                closed.set()

    return serve


@contextmanager
def bounded_memory(max_bytes=MAX_GROWTH_BYTES):
    """Check how much more memory is in use at any time within the block."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        yield
        assert tracemalloc.get_traced_memory()[1] - before <= max_bytes
    finally:
        tracemalloc.stop()


@contextmanager
def stack_before(serve, idempotent):
    cfg = config(routes=(route(idempotent=idempotent),))
    with running(Stack(cfg)) as stack, raw_target(serve) as target:
        stack.add_target(entry_target("t0", target.address))
        yield stack


# Guards against a process that runs out of memory, as it keeps all of what a faulty
# target sends until its caller closes.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(("start", "block"), HEADS.values(), ids=HEADS)
def test_head_without_end_is_refused_at_once(start, block, idempotent):
    closed = gevent.event.Event()
    serve = endless(start, block, closed)
    with stack_before(serve, idempotent) as stack, bounded_memory():
        assert stack.call()[0] == 502
        assert closed.wait(2.0)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(("start", "block"), BODIES.values(), ids=BODIES)
def test_body_without_end_is_passed_on_and_cut_at_the_deadline(
    start, block, idempotent
):
    closed = gevent.event.Event()
    serve = endless(start, block, closed)
    with stack_before(serve, idempotent) as stack, bounded_memory():
        status, size = read_and_count(stack)
        assert status == 200
        assert size > len(BLOCK)
        assert closed.wait(2.0)
        assert stack.server.request_count == 0


def read_and_count(stack):
    """Return the status of a response that ends early, and its size."""
    request = raw_request("id-1").replace(
        b"X-Id", b"X-Deadline-Ms: " + DEADLINE_MS.encode() + b"\r\nX-Id"
    )
    with gevent.socket.create_connection(("127.0.0.1", stack.server.port)) as sock:
        sock.sendall(request)
        head = sock.recv(65_536)
        size = 0
        try:
            while block := sock.recv(1_000_000):
                size += len(block)
        except OSError:
            # A body without a length ends with a reset, so that it looks incomplete.
            return parse_response(head)[0], size
    return parse_response(head)[0], size


# Guards against a response that is read to its end, which never comes, as its request
# runs on without its caller.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(("start", "block"), BODIES.values(), ids=BODIES)
def test_body_without_end_is_closed_after_its_caller(start, block, idempotent):
    closed = gevent.event.Event()
    serve = endless(start, block, closed)
    with stack_before(serve, idempotent) as stack, bounded_memory():
        address = ("127.0.0.1", stack.server.port)
        with gevent.socket.create_connection(address) as sock:
            sock.sendall(raw_request("id-1"))
            assert sock.recv(100)
        assert closed.wait(2.0)


def test_bodies_without_end_of_many_targets_take_little_memory():
    cfg = config(routes=(route(idempotent=True),))
    with ExitStack() as exits:
        stack = exits.enter_context(running(Stack(cfg)))
        for number, (start, block) in enumerate([*BODIES.values()] * 3):
            target = exits.enter_context(raw_target(endless(start, block)))
            stack.add_target(entry_target(f"t{number}", target.address))
        exits.enter_context(bounded_memory(12 * 1_000_000))
        readers = [gevent.spawn(read_and_count, stack) for _ in range(12)]
        assert [reader.get()[0] for reader in readers] == [200] * 12


@pytest.mark.parametrize("framing", [(LONG, BLOCK), (CHUNKED, CHUNK)])
@pytest.mark.parametrize("idempotent", [True, False])
def test_refusal_with_a_body_without_end_is_passed_on_at_once(framing, idempotent):
    closed = gevent.event.Event()
    serve = endless(NOT_RUN + framing[0], framing[1], closed)
    with stack_before(serve, idempotent) as stack, bounded_memory():
        assert stack.call()[0] == 503
        assert closed.wait(2.0)


# Guards against the bytes of one target on a kept connection reaching the next caller.
@pytest.mark.parametrize("idle", [False, True])
def test_bytes_without_end_behind_a_response_close_the_connection(idle):
    closed = gevent.event.Event()

    def serve(sock):
        read_head(sock)
        sock.sendall(HEAD + b"Content-Length: 2\r\n\r\nok")
        if idle:
            gevent.sleep(0.05)
        try:
            while True:
                sock.sendall(BLOCK)
        except OSError:
            closed.set()

    with stack_before(serve, True) as stack, bounded_memory():
        for _ in range(3):
            status, _, body = stack.call()
            assert (status, body) == (200, b"ok")
            gevent.sleep(0.1)
        stack.client.sweep()
        assert closed.wait(2.0)


# Guards against the same between two VMs.
@pytest.mark.parametrize(
    ("name", "status"),
    [("fields", 502), ("stray chunks", 502), ("chunk line", 502), ("trailers", 502)],
)
def test_carrier_that_sends_a_head_without_end_fails_the_request(name, status):
    start, block = HEADS[name]
    start = start.replace(b"X-Id", b"Lacewingpond-Relay: response\r\nX-Id", 1)
    assert call_through(endless(start, block))[0] == status


# Guards against a target that keeps slots and memory by sending a byte now and then.
def test_body_that_trickles_is_cut_at_the_deadline():
    def serve(sock):
        read_head(sock)
        sock.sendall(HEAD + LONG)
        try:
            while True:
                sock.sendall(b"x")
                gevent.sleep(0.05)
        except OSError:
            return

    with stack_before(serve, True) as stack, bounded_memory():
        assert stack.call(X_Deadline_Ms=DEADLINE_MS)[0] == 504
        assert stack.table.get("t0").in_flight == 0


# Guards against many responses, each below the limit of one, that fill the memory.
def test_responses_that_hang_are_read_ahead_up_to_a_bound():
    part = b"x" * 200_000

    def serve(sock):
        request_id = read_head(sock).split(b"X-Id: ")[1].split(b"\r\n")[0]
        head = HEAD.replace(b"id-1", request_id)
        sock.sendall(head + b"Content-Length: 200001\r\n\r\n" + part)
        gevent.sleep(5.0)

    with stack_before(serve, True) as stack, ExitStack() as exits:
        read_ahead = stack.pipeline._context.read_ahead
        read_ahead._max_bytes = 1_000_000
        for number in range(30):
            sock = exits.enter_context(
                gevent.socket.create_connection(("127.0.0.1", stack.server.port))
            )
            sock.sendall(raw_request(f"id-{number}"))
        gevent.sleep(0.5)
        assert 0 < read_ahead.held_bytes <= 1_000_000


class Blocks:
    """A target's response of some blocks."""

    status, reason = 200, "OK"

    def __init__(self, blocks):
        self.headers, self._blocks = Headers(), iter(blocks)

    def __iter__(self):
        return self._blocks


def test_response_is_forwarded_as_it_arrives_if_no_more_may_be_read_ahead():
    read_ahead = ReadAhead(max_bytes=10)
    source = Blocks([b"x" * 6, b"y" * 6, b"z"])
    response = read_response(source, read_ahead)
    assert isinstance(response.body, ForwardedBody)
    assert response.body.held_bytes == 12
    assert read_ahead.held_bytes == 0
    blocks = iter(response.body)
    assert next(blocks) == b"x" * 6
    assert response.body.held_bytes == 6
    assert b"".join(blocks) == b"y" * 6 + b"z"
    assert response.body.held_bytes == 0
    assert read_response(Blocks([b"x" * 6]), read_ahead).body == b"x" * 6
    assert read_ahead.held_bytes == 0


# Guards against a count that grows with each response that breaks off.
def test_bytes_of_a_response_that_breaks_off_are_returned():
    def broken():
        yield b"x" * 6
        raise ConnectionResetError

    read_ahead = ReadAhead()
    with pytest.raises(ConnectionResetError):
        read_response(Blocks(broken()), read_ahead)
    assert read_ahead.held_bytes == 0
