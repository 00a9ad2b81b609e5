"""Tests of request heads, above all ambiguous ones that allow request smuggling."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from path_helper import caller_server, connect, exchange, read_all, status_of

from lacewingpond.http.head import parse_head
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.response import Response

POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
BODY = b"5\r\nhello\r\n0\r\n\r\n"
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"

HEADS = {
    "both lengths": POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    "length twice": POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
    "lengths differ": POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
    "length list": POST + b"Content-Length: 5, 5\r\n\r\n",
    "signed length": POST + b"Content-Length: +5\r\n\r\n",
    "negative length": POST + b"Content-Length: -5\r\n\r\n",
    "hex length": POST + b"Content-Length: 0x5\r\n\r\n",
    "digit of another script": POST + b"Content-Length: \xb2\r\n\r\n",
    "coding twice": POST + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n",
    "coding not last": POST + b"Transfer-Encoding: chunked, gzip\r\n\r\n",
    "coding by another name": POST + b"Transfer-Encoding: xchunked\r\n\r\n",
    "coding in HTTP/1.0": (
        b"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
    "bare LF": b"POST / HTTP/1.1\nHost: a\n\n",
    "bare LF in a header": POST + b"X: a\nContent-Length: 5\r\n\r\n",
    "bare CR in a header": POST + b"X: a\rContent-Length: 5\r\n\r\n",
    "folded line": POST + b"X: a\r\n b\r\n\r\n",
    "folded coding": POST + b"Transfer-Encoding:\r\n chunked\r\n\r\n",
    "space before the colon": POST + b"Content-Length : 5\r\n\r\n",
    "space in a name": POST + b"Content Length: 5\r\n\r\n",
    "no colon": POST + b"Content-Length\r\n\r\n",
    "empty name": POST + b": 5\r\n\r\n",
    "NUL in a value": POST + b"X: a\x00b\r\n\r\n",
    "NUL in a name": POST + b"X\x00: b\r\n\r\n",
    "control character in a value": POST + b"X: a\x0bb\r\n\r\n",
    "high byte in a name": POST + b"Tr\xe4nsfer: b\r\n\r\n",
    "two hosts": POST + b"Host: b\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "host with a path": b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
    "host with a user": b"GET / HTTP/1.1\r\nHost: u@a\r\n\r\n",
    "target and host differ": b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "target with a user": b"GET http://u@a/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "target with a fragment": b"GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n",
    "target without a slash": b"GET a HTTP/1.1\r\nHost: a\r\n\r\n",
    "two spaces": b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
    "tab for a space": b"GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "space in the target": b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
    "no version": b"GET /\r\nHost: a\r\n\r\n",
    "method not a token": b"G@T / HTTP/1.1\r\nHost: a\r\n\r\n",
    "space before the request": b" GET / HTTP/1.1\r\nHost: a\r\n\r\n",
}


@pytest.mark.parametrize("shape", HEADS)
def test_ambiguous_head_is_refused_and_the_connection_is_closed(shape):
    handled = []

    def handler(req):
        handled.append(req.path)
        return Response(200)

    with caller_server(handler) as server:
        response = exchange(server.port, HEADS[shape] + BODY + SMUGGLED)
    assert status_of(response) == 400
    assert response.count(b"HTTP/1.1 ") == 1
    assert b'"run":"not-run"' in response
    assert b"Lacewingpond-Run: not-run\r\n" in response
    assert handled == []


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/2.0\r\nHost: a", 505),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1", 501),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked", 501),
        (b"GET /" + b"a" * 300 + b" HTTP/1.1\r\nHost: a", 414),
        (b"GET / HTTP/1.1\r\nHost: a" + b"\r\nX: y" * 9, 431),
    ],
)
def test_refused_head_gets_its_specific_status(head, status):
    options = HttpOptions(max_request_line_bytes=200, max_headers=8)
    assert parse_head(head, options).err().status == status


def test_absolute_target_with_the_same_host_is_accepted():
    raw = b"GET HTTP://Shop.example:80/a?b HTTP/1.1\r\nHost: shop.example:80"
    head = parse_head(raw, HttpOptions()).ok()
    assert (head.host, head.path) == ("shop.example", "/a?b")


def test_long_run_of_spaces_in_a_value_is_parsed_quickly():
    raw = b"GET / HTTP/1.1\r\nHost: a\r\nX: a" + b" " * 30_000 + b"b"
    assert len(parse_head(raw, HttpOptions()).ok().headers.get("X")) == 30_002


PIECES = st.sampled_from(
    [b"GET", b" ", b"/", b"HTTP/1.1", b"\r\n", b"Host", b":", b"a", b"Content-Length"]
    + [b"Transfer-Encoding", b"chunked", b"5", b",", b"\t", b"\xff", b"http://", b"["]
)


@given(st.lists(PIECES | st.binary(max_size=3), max_size=40).map(b"".join))
def test_any_bytes_give_a_head_or_a_fault(raw):
    result = parse_head(raw, HttpOptions())
    if result.is_err():
        assert result.err().status in {400, 414, 431, 501, 505}
    else:
        assert result.ok().path[0] in "/*"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\r\nGET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200),
        (b"GET /a HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", 400),
    ],
)
def test_head_received_byte_by_byte_gets_the_same_status(raw, status):
    def handler(req):
        return Response(200)

    with caller_server(handler) as server, connect(server.port) as sock:
        for byte in raw:
            sock.sendall(bytes((byte,)))
        assert status_of(read_all(sock)) == status
