"""Tests of requests that are sent before earlier ones of their connection end."""

from contextlib import contextmanager

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st
from path_helper import caller_server, connect, exchange, read_all, status_of

from lacewingpond.http.pipelined import PipelinedRequests
from lacewingpond.http.response import Response

WAIT_S = 5.0
CLOSE = b"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def get(path, body=b"", method="GET"):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: a\r\n{length}\r\n"
    return head.encode() + body


class Handler:
    """Holds back the requests of some paths until `release` is called for them."""

    def __init__(self, held=(), body_bytes=0):
        self.started = []
        self.ended = []
        self.events = {path: Event() for path in held}
        self.body_bytes = body_bytes

    def __call__(self, req):
        b"".join(req.body)
        self.started.append(req.path)
        try:
            if req.path in self.events:
                self.events[req.path].wait()
        finally:
            self.ended.append(req.path)
        return Response(200, body=req.path.encode() + b"." * self.body_bytes)

    def release(self, path):
        self.events[path].set()

    def wait_started(self, count):
        with gevent.Timeout(WAIT_S):
            while len(self.started) < count:
                gevent.sleep(0.002)


@contextmanager
def overlapping_server(handler, may_overlap=lambda req: True, **options):
    with caller_server(handler, **options) as server:
        server.may_overlap = may_overlap
        yield server


def bodies(raw):
    return [part.split(b"\r\n\r\n", 1)[1] for part in raw.split(b"HTTP/1.1 200 OK")[1:]]


def wait_until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.002)


# Guards against a short request that waits for a long one in front of it.
def test_request_starts_while_an_earlier_one_runs_and_is_answered_after_it():
    handler = Handler(held=["/slow"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/slow") + get("/a"))
        sock.sendall(get("/b") + CLOSE)
        handler.wait_started(4)
        sock.settimeout(0.05)
        with pytest.raises(TimeoutError):
            sock.recv(1)
        sock.settimeout(WAIT_S)
        handler.release("/slow")
        assert bodies(read_all(sock)) == [b"/slow", b"/a", b"/b", b"/last"]


@pytest.mark.parametrize(
    "request_", [get("/b", b"body"), get("/b", method="POST"), get("/no-overlap")]
)
def test_request_that_may_not_overlap_waits_for_its_turn(request_):
    handler = Handler(held=["/slow"])
    may_overlap = lambda req: req.path != "/no-overlap"  # noqa: E731
    with (
        overlapping_server(handler, may_overlap) as server,
        connect(server.port) as sock,
    ):
        sock.sendall(get("/slow") + get("/a") + request_ + CLOSE)
        handler.wait_started(2)
        gevent.sleep(0.05)
        assert handler.started == ["/slow", "/a"]
        handler.release("/slow")
        assert len(bodies(read_all(sock))) == 4


def test_nothing_overlaps_with_a_request_that_may_not():
    handler = Handler(held=["/post"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/post", method="POST") + CLOSE)
        handler.wait_started(1)
        gevent.sleep(0.05)
        assert handler.started == ["/post"]
        handler.release("/post")
        assert bodies(read_all(sock)) == [b"/post", b"/last"]


def test_server_without_overlap_handles_requests_in_turn():
    handler = Handler(held=["/slow"])
    with caller_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/slow") + CLOSE)
        handler.wait_started(1)
        gevent.sleep(0.05)
        assert handler.started == ["/slow"]
        handler.release("/slow")
        assert bodies(read_all(sock)) == [b"/slow", b"/last"]


def test_malformed_head_is_refused_after_the_requests_before_it():
    handler = Handler(held=["/slow"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/slow") + get("/a") + b"GET  / HTTP/1.1\r\n\r\n" + get("/c"))
        handler.wait_started(2)
        handler.release("/slow")
        raw = read_all(sock)
    assert bodies(raw)[0] == b"/slow"
    assert status_of(raw[raw.rindex(b"HTTP/1.1 ") :]) == 400
    assert handler.started == ["/slow", "/a"]


def test_requests_before_a_head_that_breaks_off_are_served():
    handler = Handler(held=["/slow"])
    with (
        overlapping_server(handler, head_timeout_s=0.1) as server,
        connect(server.port) as sock,
    ):
        sock.sendall(get("/slow") + get("/a") + b"GET /b HTTP/1.1\r\nHo")
        handler.wait_started(2)
        handler.release("/slow")
        raw = read_all(sock)
    assert bodies(raw)[0] == b"/slow"
    assert raw.count(b"200 OK") == 2
    assert status_of(raw[raw.rindex(b"HTTP/1.1 ") :]) == 408


def test_head_that_arrives_in_pieces_behind_a_running_request_is_read():
    handler = Handler(held=["/slow"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/slow"))
        handler.wait_started(1)
        for byte in get("/a"):
            sock.sendall(bytes([byte]))
            gevent.sleep(0)
        handler.wait_started(2)
        handler.release("/slow")
        sock.sendall(CLOSE)
        assert bodies(read_all(sock)) == [b"/slow", b"/a", b"/last"]


# Guards against a body that is taken for a pipelined request.
def test_body_behind_a_get_is_not_read_as_a_request():
    handler = Handler(held=["/slow"])
    smuggled = get("/smuggled")
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/slow") + get("/a", smuggled) + CLOSE)
        handler.wait_started(1)
        handler.release("/slow")
        read_all(sock)
    assert handler.started == ["/slow", "/a", "/last"]


def test_thousand_requests_in_one_write_run_within_the_bound():
    running = []
    most = 0

    def handler(req):
        nonlocal most
        running.append(req.path)
        most = max(most, len(running))
        gevent.sleep(0)
        running.remove(req.path)
        return Response(200, body=req.path.encode())

    requests = b"".join(get(f"/{n}") for n in range(1000))
    with overlapping_server(handler, max_pipelined=8) as server:
        raw = exchange(server.port, requests + CLOSE)
        assert server.pipelined_count == 0
    assert bodies(raw) == [b"/%d" % n for n in range(1000)] + [b"/last"]
    assert 1 < most <= 8


def test_bound_on_all_connections_stops_reading_ahead():
    handler = Handler(held=[f"/{n}" for n in range(12)])
    with overlapping_server(handler, max_pipelined_total=3) as server:
        socks = [connect(server.port) for _ in range(2)]
        for number, sock in enumerate(socks):
            paths = range(6 * number, 6 * number + 6)
            sock.sendall(b"".join(get(f"/{n}") for n in paths))
        gevent.sleep(0.1)
        # The first of each connection, and three before their turn.
        assert len(handler.started) == 5
        for sock in socks:
            sock.close()


# Guards against memory that grows with a caller that sends and does not read.
def test_caller_that_does_not_read_holds_a_bounded_number_of_responses():
    size = 100_000
    handler = Handler(held=["/slow"], body_bytes=size)
    limits = {"max_pipelined": 8, "max_pipelined_bytes": 2 * size}
    with overlapping_server(handler, **limits) as server, connect(server.port) as sock:
        sock.sendall(get("/slow"))
        for number in range(100):
            sock.sendall(get(f"/{number}"))
            gevent.sleep(0.001)
        gevent.sleep(0.1)
        assert len(handler.started) <= 4
        handler.release("/slow")
        gevent.sleep(0.2)
        assert len(handler.started) < 100


# Guards against targets that work for a caller that is gone.
def test_caller_that_leaves_cancels_all_its_requests():
    paths = ["/a", "/b", "/c"]
    handler = Handler(held=paths)
    with overlapping_server(handler) as server:
        with connect(server.port) as sock:
            sock.sendall(b"".join(map(get, paths)))
            handler.wait_started(3)
        wait_until(lambda: len(handler.ended) == 3)
        wait_until(lambda: server.connection_count == 0)
        cancelled = [line for line in server.log.lines if line[0] == "pipelined"]
        assert [(why, fields["count"]) for _, _, why, fields in cancelled] == [
            ("cancelled", 3)
        ]


def test_caller_that_leaves_behind_unread_requests_counts_as_disconnected():
    seen = []

    def handler(req):
        with gevent.Timeout(WAIT_S):
            while not req.is_disconnected():
                gevent.sleep(0.002)
        seen.append(req.path)
        return Response(200)

    with overlapping_server(handler) as server:
        with connect(server.port) as sock:
            sock.sendall(get("/post", method="POST") + get("/unread"))
            gevent.sleep(0.02)
        wait_until(lambda: "/post" in seen)


def test_response_that_breaks_off_cancels_the_requests_behind_it():
    started = []

    def broken():
        yield b"begun"
        raise RuntimeError("the target went away")

    def handler(req):
        started.append(req.path)
        if req.path == "/broken":
            return Response(200, body=broken())
        gevent.sleep(WAIT_S)
        return Response(200)

    with overlapping_server(handler) as server:
        raw = exchange(server.port, get("/broken") + get("/a"))
    assert raw.count(b"HTTP/1.1 ") == 1
    assert not raw.endswith(b"0\r\n\r\n")


# Guards against requests that a planned stop begins and cuts.
def test_planned_stop_answers_what_was_begun_then_closes():
    handler = Handler(held=["/a", "/b"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/a") + get("/b"))
        handler.wait_started(2)
        server.draining = True
        sock.sendall(get("/c"))
        drained = gevent.spawn(server.drain, WAIT_S)
        gevent.sleep(0.05)
        handler.release("/b")
        handler.release("/a")
        raw = read_all(sock)
        sock.close()
        assert drained.get() == 0
    assert bodies(raw) == [b"/a", b"/b"]
    heads = raw.split(b"HTTP/1.1 200 OK")[1:]
    assert [b"Connection: close" in head for head in heads] == [False, True]
    assert handler.started == ["/a", "/b"]


# Guards against a reset by unread requests that discards a response.
def test_response_that_closes_is_read_although_requests_behind_it_are_unread():
    handler = Handler(held=["/a"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/a"))
        handler.wait_started(1)
        server.draining = True
        sock.sendall(get("/b") * 1000)
        handler.release("/a")
        gevent.sleep(0.1)
        assert bodies(read_all(sock)) == [b"/a"]


# Guards against callers who are not told of any of their requests at the end of a stop.
def test_end_of_a_stop_tells_the_callers_of_all_requests_that_run():
    handler = Handler(held=["/a", "/b"])
    with overlapping_server(handler) as server, connect(server.port) as sock:
        sock.sendall(get("/a") + get("/b"))
        handler.wait_started(2)
        assert server.drain(0.05) == 1
        response = read_all(sock)
    assert response.count(b"HTTP/1.1 504") == 2
    assert response.count(b'"run":"unknown"') == 2
    assert sorted(handler.ended) == ["/a", "/b"]


STEPS = ["send_get", "send_post", "send_half", "read", "stop", "close"]


class Client:
    """One connection that sends, reads and closes beside a stop of the server."""

    def __init__(self, server, sock):
        self.server = server
        self.sock = sock
        self.sent = []
        self.received = b""
        self.rest = b""
        self.closed = False

    def run(self, steps):
        for step in steps:
            if self.closed:
                return
            getattr(self, step)()
            gevent.sleep(0.001)

    def send_get(self, method="GET"):
        self.send(self._next_request(method))

    def send_post(self):
        self.send_get("POST")

    def send_half(self):
        data = self._next_request("GET")
        self.send(data[:9])
        self.rest = data[9:]

    def read(self):
        self.sock.settimeout(0.002)
        try:
            self.received += self.sock.recv(65536)
        except TimeoutError:
            return

    def stop(self):
        self.server.draining = True

    def close(self):
        self.sock.close()
        self.closed = True

    def send(self, data):
        rest, self.rest = self.rest, b""
        try:
            self.sock.sendall(rest + data)
        except OSError:
            assert self.server.draining

    def _next_request(self, method):
        path = f"/{len(self.sent)}"
        self.sent.append(path)
        return get(path, method=method)


@settings(max_examples=60, deadline=None)
@given(steps=st.lists(st.sampled_from(STEPS), max_size=14))
def test_responses_are_whole_and_in_order_for_any_interleaving(steps):
    started = []

    def handler(req):
        started.append(req.path)
        gevent.sleep(0.003 if req.path.endswith(("0", "3", "6")) else 0.0)
        return Response(200, body=req.path.encode())

    with overlapping_server(handler, max_pipelined=3) as server:
        client = Client(server, connect(server.port))
        client.run(steps)
        if not client.closed:
            client.sock.settimeout(WAIT_S)
            client.send(CLOSE)
            client.received += read_all(client.sock)
            client.close()
            expected = [*client.sent, "/last"]
            answered = [body.decode() for body in bodies(client.received)]
            assert answered == started == expected[: len(answered)]
            assert answered == expected or server.draining
        wait_until(lambda: server.connection_count == 0)
        assert started == [*client.sent, "/last"][: len(started)]
        assert server.pipelined_count == 0


class Streamed:
    held_bytes = 300_000

    def __iter__(self):
        return iter(())


# Guards against forwarded bodies that wait behind an earlier response uncounted, so
# that their connection goes on to read requests.
def test_parts_of_forwarded_bodies_count_as_held():
    bodies = iter([b"x" * 50, Streamed(), iter(())])
    pipelined = PipelinedRequests(None, lambda req: Response(200, body=next(bodies)))
    for _ in range(3):
        pipelined.start(None, None)
    gevent.sleep(0)
    assert pipelined.held_bytes == 300_050
