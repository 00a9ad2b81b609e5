"""Tests of callers that read their responses slowly, or not at all."""

import socket

import gevent
import pytest
from path_helper import CLOCK, caller_server

from lacewingpond.http.response import Response
from lacewingpond.util.sockets import unacknowledged_bytes

SIZE = 12_000_000  # more than the kernel buffers on both sides hold
TIMEOUT_S = 0.5
REQUEST = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"


@pytest.fixture
def caller():
    """Return a caller with a small receive buffer, and the server that it asks."""
    body = b"x" * SIZE
    with (
        caller_server(
            lambda req: Response(200, body=body), write_timeout_s=TIMEOUT_S
        ) as server,
        socket.socket() as sock,
    ):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.settimeout(10.0)
        sock.connect(("127.0.0.1", server.port))
        sock.sendall(REQUEST)
        yield sock, server


def cuts(server):
    return [line for line in server.log.lines if line[0] == "answer-cut"]


# Guards against a caller that holds a connection and a response without reading it.
def test_caller_that_reads_nothing_is_cut_after_the_timeout(caller):
    sock, server = caller
    assert sock.recv(1)
    started = CLOCK.now()
    while not cuts(server):
        gevent.sleep(0.02)
        assert CLOCK.now() - started < TIMEOUT_S * 4
    assert CLOCK.now() - started >= TIMEOUT_S * 0.8


# Guards against the same after a slow start, as progress counts only while it lasts.
def test_caller_that_stops_reading_is_cut_after_the_timeout(caller):
    sock, server = caller
    received = 0
    end = CLOCK.now() + TIMEOUT_S * 3
    while CLOCK.now() < end:
        received += len(sock.recv(65536))
        gevent.sleep(0.05)
    assert not cuts(server)
    started = CLOCK.now()
    while not cuts(server):
        gevent.sleep(0.02)
        assert CLOCK.now() - started < TIMEOUT_S * 4


def test_unacknowledged_bytes_are_those_that_the_peer_does_not_read():
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as sock:
        sock.connect(listener.getsockname())
        peer, _ = listener.accept()
        with peer:
            peer.settimeout(10.0)
            sock.settimeout(0.0)
            sent = 0
            with pytest.raises(BlockingIOError):
                while True:
                    sent += sock.send(b"x" * 65536)
            gevent.sleep(0.05)
            unread = unacknowledged_bytes(sock)
            assert 0 < unread <= sent
            left = sent
            while left:
                left -= len(peer.recv(65536))
            gevent.sleep(0.05)
            assert unacknowledged_bytes(sock) == 0
    assert unacknowledged_bytes(sock) is None
