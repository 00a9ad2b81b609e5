"""Tests of requests that arrive as a drain closes their idle connections."""

import sys
from collections import Counter
from contextlib import ExitStack

import gevent
import msgspec
import pytest
from path_helper import connect, read_head
from stack_helper import (
    idempotent_stack,
    parse_response,
    quick_then_slow,
    raw_request,
)

CROSSING = 300  # connections that a drain closes at once


@pytest.fixture
def serve():
    """Return a function that starts a stack with one target per `respond`."""
    with ExitStack() as exits:

        def start(*responders, **options):
            return exits.enter_context(idempotent_stack(2.0, *responders, **options))

        yield start


def kept_connection(stack):
    """Return a connection that has carried a request, and its end in the server."""
    sock = connect(stack.server.port)
    sock.sendall(raw_request("id-0"))
    read_head(sock)
    while not all(conn.is_idle for conn in stack.server._connections):
        gevent.sleep(0.01)
    (conn,) = stack.server._connections
    return sock, conn


# A request that arrives right after the drain closed its connection must not be read
# and then given up as one whose caller has disconnected.
@pytest.mark.parametrize("body", [b"", b"body"])
def test_request_that_crosses_a_close_of_the_drain_is_unread_or_answered(serve, body):
    seen = []

    def respond(req):
        seen.append(req.headers.get("X-Id"))
        return quick_then_slow(0.6)(req)

    stack = serve(respond)
    sock, conn = kept_connection(stack)
    stack.server.draining = True
    conn.close_if_idle()
    sock.sendall(raw_request("id-1", body))
    try:
        sock.sendall(body)
        answer = sock.recv(65536)
    except ConnectionError:
        answer = b""
    assert seen == ["id-0"] if not answer else parse_response(answer)[0] == 200


def cross_the_closing(stack, body=b""):
    """Send a request on each of many connections as a drain closes them.

    The body follows after the head was read. Returns the status and reason of each
    answer; an unread request gets none.
    """
    stack.client.set_connection_limit(CROSSING)
    socks = [connect(stack.server.port) for _ in range(CROSSING)]
    for sock in socks:
        sock.sendall(raw_request("id-0"))
        read_head(sock)
    gevent.sleep(0.2)
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)  # stands for a slow processor
    try:
        stack.server.draining = True
        stack.server._close_idle()
        for sock in socks:
            sock.sendall(raw_request("id-1", body))
        gevent.sleep(0.05)
    finally:
        sys.setswitchinterval(interval_s)

    def answer(sock):
        try:
            if body:
                gevent.sleep(0.1)
                sock.sendall(body)
            return sock.recv(65536)
        except ConnectionError:
            return b""

    readers = [gevent.spawn(answer, sock) for sock in socks]
    answers = [parse_response(reader.get()) for reader in readers if reader.get()]
    return Counter((status, reason_of(text)) for status, _, text in answers)


def reason_of(body):
    return "" if body == b"done" else msgspec.json.decode(body)["reason"]


# Of many connections that a drain closes at once, some still wait for their end when a
# request arrives.
def test_requests_that_cross_the_closing_of_many_connections_are_not_given_up(serve):
    answers = cross_the_closing(serve(quick_then_slow(0.6)))
    assert set(answers) <= {(200, "")}, answers


# As above, with a body that arrives after the head: it must not count as ended early.
# Callers do not repeat a request after a 400.
def test_bodies_that_cross_the_closing_of_many_connections_are_not_refused(serve):
    answers = cross_the_closing(serve(quick_then_slow(0.0)), b"body")
    assert set(answers) <= {(200, "")}, answers
