"""Tests of the callers' server: connections, framing and draining."""

import gevent
import pytest
from gevent.event import Event
from path_helper import caller_server, connect, exchange, read_all, status_of

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
LAST = b"GET /z HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def path_echo(req):
    return Response(200, body=req.path.encode())


def test_pipelined_requests_are_answered_in_order():
    requests = b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in range(50))
    with caller_server(path_echo) as server:
        answer = exchange(server.port, requests + LAST)
    bodies = [
        part.split(b"\r\n\r\n")[1] for part in answer.split(b"HTTP/1.1 200 OK")[1:]
    ]
    assert bodies == [b"/%d" % n for n in range(50)] + [b"/z"]


def test_head_has_the_length_but_no_body():
    with caller_server(path_echo) as server:
        answer = exchange(server.port, LAST.replace(b"GET", b"HEAD"))
    assert b"Content-Length: 2\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")


def test_http_10_gets_no_chunks():
    with caller_server(lambda req: Response(200, body=iter([b"a", b"b"]))) as server:
        answer = exchange(server.port, b"GET / HTTP/1.0\r\n\r\n")
    assert answer.endswith(b"\r\n\r\nab")
    assert b"chunked" not in answer


def test_stream_passes_each_block_as_it_comes():
    go_on = Event()

    def events():
        yield b"data: 1\n\n"
        go_on.wait()
        yield b"data: 2\n\n"

    def handler(req):
        return Response(200, body=events())

    with caller_server(handler) as server, connect(server.port) as sock:
        sock.sendall(LAST)
        first = b""
        while b"data: 1" not in first:
            first += sock.recv(65536)
        go_on.set()
        assert read_all(sock).endswith(b"9\r\ndata: 2\n\n\r\n0\r\n\r\n")


def cut_stream():
    yield b"begun"
    raise RuntimeError("the target went away")


@pytest.mark.parametrize("headers", [(), (("Content-Length", "50"),)])
def test_cut_answer_never_looks_complete(headers):
    def handler(req):
        return Response(200, Headers(headers), cut_stream())

    with caller_server(handler) as server:
        answer = exchange(server.port, GET + LAST)
    assert b"begun" in answer
    assert not answer.endswith(b"0\r\n\r\n")
    assert answer.count(b"HTTP/1.1 ") == 1


def test_cut_answer_to_http_10_is_reset():
    def handler(req):
        return Response(200, body=cut_stream())

    with caller_server(handler) as server, pytest.raises(ConnectionResetError):
        exchange(server.port, b"GET / HTTP/1.0\r\n\r\n")


def test_answer_longer_than_declared_never_reaches_the_next():
    def handler(req):
        return Response(200, Headers((("Content-Length", "2"),)), iter([b"abHTTP"]))

    with caller_server(handler) as server:
        answer = exchange(server.port, GET + LAST)
    assert answer.endswith(b"\r\n\r\nab")


def test_header_with_a_line_end_is_not_sent():
    def handler(req):
        return Response(200, Headers((("X", "a\r\nSet-Cookie: b"),)))

    with caller_server(handler) as server:
        answer = exchange(server.port, LAST)
    assert status_of(answer) == 500
    assert b"Set-Cookie" not in answer


def test_failing_handler_ends_neither_process_nor_other_connections():
    def handler(req):
        if req.path == "/a":
            raise KeyError("fault")
        return path_echo(req)

    with caller_server(handler) as server:
        failed = exchange(server.port, GET + LAST)
        assert b'"run":"unknown"' in failed
        assert failed.endswith(b"\r\n\r\n/z")
        garbage = exchange(server.port, bytes(range(256)) * 8)
        assert status_of(garbage) == 400
        assert exchange(server.port, LAST).endswith(b"/z")


def test_too_large_head_is_refused():
    huge = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3000 + b"\r\n\r\n"
    line = b"GET /" + b"y" * 3000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    limits = {"max_head_bytes": 2000, "max_request_line_bytes": 1000}
    with caller_server(path_echo, **limits) as server:
        assert status_of(exchange(server.port, huge)) == 431
        assert status_of(exchange(server.port, line)) == 414


@pytest.mark.parametrize("limit", ["max_connections", "max_connections_per_address"])
def test_connections_are_bounded(limit):
    with caller_server(path_echo, **{limit: 2}) as server:
        held = [connect(server.port) for _ in range(2)]
        for sock in held:
            sock.sendall(GET)
            assert status_of(sock.recv(65536)) == 200
        refused = exchange(server.port, b"")
        assert status_of(refused) == 503
        assert b"Retry-After: 1\r\n" in refused
        held[0].close()
        while server.connection_count > 1:
            gevent.sleep(0)
        assert status_of(exchange(server.port, LAST)) == 200
        held[1].close()


def test_drain_cuts_no_request():
    go_on, begun = Event(), Event()

    def handler(req):
        begun.set()
        go_on.wait()
        return path_echo(req)

    with caller_server(handler, drain_idle_s=0.0) as server:
        busy, idle = connect(server.port), connect(server.port)
        busy.sendall(GET)
        begun.wait()
        server.stop_accepting()
        drain = gevent.spawn(server.drain, 5.0)
        assert read_all(idle) == b""
        go_on.set()
        answer = read_all(busy)
        assert answer.endswith(b"/a")
        assert b"Connection: close" in answer
        assert drain.get() == 0


def test_requests_queued_before_the_stop_are_answered():
    with caller_server(path_echo, drain_idle_s=0.0) as server:
        queued = [connect(server.port) for _ in range(20)]
        for sock in queued:
            sock.sendall(GET)
        server.stop_accepting()
        assert server.drain(5.0) == 0
        assert [read_all(sock)[-2:] for sock in queued] == [b"/a"] * 20


def test_caller_that_left_is_noticed():
    noticed = Event()

    def handler(req):
        while not req.is_disconnected():
            gevent.sleep(0.01)
        noticed.set()
        return Response(200)

    with caller_server(handler) as server:
        sock = connect(server.port)
        sock.sendall(GET)
        sock.close()
        assert noticed.wait(5.0)
