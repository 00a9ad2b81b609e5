"""Tests of the HTTP server for callers: connections, framing and draining."""

import os
import resource
import socket
import sys
from contextlib import ExitStack

import gevent
import pytest
from gevent.event import Event
from path_helper import caller_server, connect, exchange, read_all, status_of

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
GET_AND_CLOSE = b"GET /z HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def path_echo(req):
    return Response(200, body=req.path.encode())


def test_pipelined_requests_are_answered_in_order():
    requests = b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in range(50))
    with caller_server(path_echo) as server:
        response = exchange(server.port, requests + GET_AND_CLOSE)
    bodies = [
        part.split(b"\r\n\r\n")[1] for part in response.split(b"HTTP/1.1 200 OK")[1:]
    ]
    assert bodies == [b"/%d" % n for n in range(50)] + [b"/z"]


def test_response_to_head_has_content_length_but_no_body():
    with caller_server(path_echo) as server:
        response = exchange(server.port, GET_AND_CLOSE.replace(b"GET", b"HEAD"))
    assert b"Content-Length: 2\r\n" in response
    assert response.endswith(b"\r\n\r\n")


def test_response_to_http_10_is_not_chunked():
    with caller_server(lambda req: Response(200, body=iter([b"a", b"b"]))) as server:
        response = exchange(server.port, b"GET / HTTP/1.0\r\n\r\n")
    assert response.endswith(b"\r\n\r\nab")
    assert b"chunked" not in response


def test_streamed_response_is_sent_block_by_block():
    resume = Event()

    def events():
        yield b"data: 1\n\n"
        resume.wait()
        yield b"data: 2\n\n"

    def handler(req):
        return Response(200, body=events())

    with caller_server(handler) as server, connect(server.port) as sock:
        sock.sendall(GET_AND_CLOSE)
        first = b""
        while b"data: 1" not in first:
            first += sock.recv(65536)
        resume.set()
        assert read_all(sock).endswith(b"9\r\ndata: 2\n\n\r\n0\r\n\r\n")


def failing_stream():
    yield b"begun"
    raise RuntimeError("the target went away")


@pytest.mark.parametrize("headers", [(), (("Content-Length", "50"),)])
def test_truncated_response_never_looks_complete(headers):
    def handler(req):
        return Response(200, Headers(headers), failing_stream())

    with caller_server(handler) as server:
        response = exchange(server.port, GET + GET_AND_CLOSE)
    assert b"begun" in response
    assert not response.endswith(b"0\r\n\r\n")
    assert response.count(b"HTTP/1.1 ") == 1


def test_failing_stream_to_http_10_resets_the_connection():
    def handler(req):
        return Response(200, body=failing_stream())

    with caller_server(handler) as server, pytest.raises(ConnectionResetError):
        exchange(server.port, b"GET / HTTP/1.0\r\n\r\n")


def test_response_longer_than_declared_is_truncated():
    def handler(req):
        return Response(200, Headers((("Content-Length", "2"),)), iter([b"abHTTP"]))

    with caller_server(handler) as server:
        response = exchange(server.port, GET + GET_AND_CLOSE)
    assert response.endswith(b"\r\n\r\nab")


def test_response_header_with_a_line_end_is_not_sent():
    def handler(req):
        return Response(200, Headers((("X", "a\r\nSet-Cookie: b"),)))

    with caller_server(handler) as server:
        response = exchange(server.port, GET_AND_CLOSE)
    assert status_of(response) == 500
    assert b"Set-Cookie" not in response


def test_failing_handler_affects_no_other_request_or_connection():
    def handler(req):
        if req.path == "/a":
            raise KeyError("fault")
        return path_echo(req)

    with caller_server(handler) as server:
        failed = exchange(server.port, GET + GET_AND_CLOSE)
        assert b'"run":"unknown"' in failed
        assert failed.endswith(b"\r\n\r\n/z")
        garbage = exchange(server.port, bytes(range(256)) * 8)
        assert status_of(garbage) == 400
        assert exchange(server.port, GET_AND_CLOSE).endswith(b"/z")


def test_too_large_head_is_refused():
    large_headers = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3000 + b"\r\n\r\n"
    long_line = b"GET /" + b"y" * 3000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    limits = {"max_head_bytes": 2000, "max_request_line_bytes": 1000}
    with caller_server(path_echo, **limits) as server:
        assert status_of(exchange(server.port, large_headers)) == 431
        assert status_of(exchange(server.port, long_line)) == 414


@pytest.mark.parametrize("limit", ["max_connections", "max_connections_per_address"])
def test_connections_are_bounded(limit):
    with caller_server(path_echo, **{limit: 2}) as server:
        connections = [connect(server.port) for _ in range(2)]
        for sock in connections:
            sock.sendall(GET)
            assert status_of(sock.recv(65536)) == 200
        refused = exchange(server.port, b"")
        assert status_of(refused) == 503
        assert b"Retry-After: 1\r\n" in refused
        connections[0].close()
        while server.connection_count > 1:
            gevent.sleep(0)
        assert status_of(exchange(server.port, GET_AND_CLOSE)) == 200
        connections[1].close()


def test_drain_aborts_no_request():
    resume, started = Event(), Event()

    def handler(req):
        started.set()
        resume.wait()
        return path_echo(req)

    with caller_server(handler, drain_idle_s=0.0) as server:
        busy_sock, idle_sock = connect(server.port), connect(server.port)
        busy_sock.sendall(GET)
        started.wait()
        server.stop_accepting()
        drain = gevent.spawn(server.drain, 5.0)
        assert read_all(idle_sock) == b""
        resume.set()
        response = read_all(busy_sock)
        assert response.endswith(b"/a")
        assert b"Connection: close" in response
        assert drain.get() == 0


def test_requests_queued_before_the_stop_are_served():
    with caller_server(path_echo, drain_idle_s=0.0) as server:
        queued = [connect(server.port) for _ in range(20)]
        for sock in queued:
            sock.sendall(GET)
        server.stop_accepting()
        assert server.drain(5.0) == 0
        assert [read_all(sock)[-2:] for sock in queued] == [b"/a"] * 20


# A drain closes idle connections without a switch of greenlets. gevent ends their reads
# in blocks of 50 and polls in between once `sys.getswitchinterval` has passed. What was
# read there after its connection was closed for reading looked abandoned.
def test_request_that_crosses_the_close_of_its_idle_connection_is_not_read():
    handled = []

    def handler(req):
        if req.path == "/z":
            handled.append(req.is_disconnected())
        return path_echo(req)

    with ExitStack() as exits:
        server = exits.enter_context(caller_server(handler, drain_idle_s=0.0))
        socks = [exits.enter_context(connect(server.port)) for _ in range(120)]
        for sock in socks:
            sock.sendall(GET)
            assert status_of(sock.recv(65536)) == 200
        gevent.sleep(0.05)
        exits.callback(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-6)  # stands for a slow processor
        server.draining = True
        server._close_idle()
        for sock in socks:
            sock.sendall(GET_AND_CLOSE)
        while server.connection_count:
            gevent.sleep(0.01)
    assert handled == []


def test_handler_sees_that_the_caller_disconnected():
    disconnected = Event()

    def handler(req):
        while not req.is_disconnected():
            gevent.sleep(0.01)
        disconnected.set()
        return Response(200)

    with caller_server(handler) as server:
        sock = connect(server.port)
        sock.sendall(GET)
        sock.close()
        assert disconnected.wait(5.0)


# At the limit of open files, accepting a queued connection fails. The error must not
# leave the planned stop, which would end the process with all of its requests.
def test_error_of_accept_does_not_end_a_planned_stop():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with caller_server(path_echo) as server, socket.socket() as queued:
        queued.setblocking(False)
        queued.connect_ex(("127.0.0.1", server.port))
        next_descriptor = os.dup(0)
        os.close(next_descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (next_descriptor, hard))
        try:
            server.stop_accepting()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert server.drain(1.0) == 0
