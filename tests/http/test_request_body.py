"""Tests of request bodies: chunked, truncated, malformed and slow ones."""

import pytest
from path_helper import caller_server, connect, exchange, read_all, status_of

from lacewingpond.http.response import Response

CHUNKED_POST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def echo(req):
    return Response(200, body=b"".join(req.body))


@pytest.mark.parametrize(
    "body",
    [
        b"0x5\r\nhello\r\n0\r\n\r\n",
        b"+5\r\nhello\r\n0\r\n\r\n",
        b"-1\r\nhello\r\n0\r\n\r\n",
        b"5 \r\nhello\r\n0\r\n\r\n",
        b"\r\nhello\r\n0\r\n\r\n",
        b"5_0\r\nhello\r\n0\r\n\r\n",
        b"f" * 17 + b"\r\nhello\r\n0\r\n\r\n",
        b"5;a\nb=c\r\nhello\r\n0\r\n\r\n",
        b"5;=c\r\nhello\r\n0\r\n\r\n",
        b"5;a=\x00\r\nhello\r\n0\r\n\r\n",
        b"5;" + b"a" * 300 + b"\r\nhello\r\n0\r\n\r\n",
        b"5\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\n0\r\n\r\n",
        b"5\r\nhello0\r\n\r\n",
        b"4\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\r\n0\r\nbad trailer\r\n\r\n",
        b"5\r\nhello\r\n0\r\nA: \x00\r\n\r\n",
    ],
)
def test_malformed_chunks_are_refused_and_the_connection_is_closed(body):
    smuggled = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    with caller_server(echo) as server:
        response = exchange(server.port, CHUNKED_POST + body + smuggled)
    assert status_of(response) == 400
    assert response.count(b"HTTP/1.1 ") == 1


def test_chunks_with_extensions_and_trailers_are_read():
    body = b'3;a="b;c"\r\nabc\r\nA;x=y\r\n0123456789\r\n00\r\nTrailer: x\r\n\r\n'
    closing_request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    with caller_server(echo) as server:
        response = exchange(server.port, CHUNKED_POST + body + closing_request)
    assert b"\r\n\r\nabc0123456789HTTP/1.1 200 OK" in response


def test_slow_head_and_slow_body_time_out():
    limits = {"head_timeout_s": 0.05, "body_timeout_s": 0.05}
    with caller_server(echo, **limits) as server:
        head = exchange(server.port, b"GET / HTTP/1.1\r\nHo")
        body = exchange(server.port, CHUNKED_POST + b"5\r\nhe")
    assert status_of(head) == 408
    assert b"not-run" in head
    assert status_of(body) == 408


def test_body_below_the_minimum_rate_times_out():
    limits = {"body_timeout_s": 0.2, "min_body_bytes_per_s": 1e6}
    with caller_server(echo, **limits) as server, connect(server.port) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
        response = b""
        while not response:
            sock.sendall(b"x")
            sock.settimeout(0.05)
            try:
                response = sock.recv(65536)
            except TimeoutError:
                continue
    assert status_of(response) == 408


def test_continue_is_sent_only_when_the_body_is_read():
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    head += b"Expect: 100-continue\r\n\r\n"
    with caller_server(echo) as server, connect(server.port) as sock:
        sock.sendall(head)
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"hi")
        assert sock.recv(65536).endswith(b"\r\n\r\nhi")
    with caller_server(lambda req: Response(403)) as server:
        response = exchange(server.port, head)
    assert status_of(response) == 403
    assert b"Connection: close" in response


def test_unread_body_is_discarded_or_the_connection_is_closed():
    small = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
    closing_request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    with caller_server(lambda req: Response(200)) as server:
        assert exchange(server.port, small + closing_request).count(b"200 OK") == 2
    with caller_server(lambda req: Response(200), max_discard_bytes=4) as server:
        assert exchange(server.port, small + closing_request).count(b"200 OK") == 1


def test_truncated_body_raises_in_the_handler():
    with caller_server(echo) as server, connect(server.port) as sock:
        sock.sendall(CHUNKED_POST + b"5\r\nhe")
        sock.shutdown(1)
        response = read_all(sock)
    assert status_of(response) == 400
