"""Tests of the bound on responses that their callers do not read."""

import socket
from contextlib import ExitStack

import gevent
import pytest
from path_helper import caller_server

from lacewingpond.http.response import Response
from lacewingpond.http.unread import UNREAD_OVERHEAD_BYTES, UnreadResponses

REQUEST = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
BODY = b"x" * 12_000_000  # more than the kernel buffers on both sides hold
WAIT_S = 5.0


class Waiting:
    def __init__(self):
        self.was_cut = False


def test_responses_that_wait_longest_are_cut_beyond_the_bound():
    unread = UnreadResponses(max_bytes=3 * (100 + UNREAD_OVERHEAD_BYTES))
    responses = [Waiting() for _ in range(5)]
    for response in responses[:3]:
        unread.enter(response, 100)
    unread.touch(responses[0])
    for response in responses[3:]:
        unread.enter(response, 100)
    assert [each.was_cut for each in responses] == [False, True, True, False, False]
    for response in responses:
        unread.touch(response)
        unread.leave(response)
        unread.leave(response)
    assert unread.held_bytes == 0


# Guards against a bound below one response, which would cut each as soon as it waits.
def test_only_response_is_not_cut():
    unread = UnreadResponses(max_bytes=1)
    response = Waiting()
    unread.enter(response, 1_000)
    assert not response.was_cut


def unreading_caller(server):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.settimeout(WAIT_S)
    sock.connect(("127.0.0.1", server.port))
    sock.sendall(REQUEST)
    return sock


def cut_count(server):
    return sum(line[0] == "answer-cut" for line in server.log.lines)


# Guards against a process that runs out of memory as many callers read nothing.
@pytest.mark.parametrize("streamed", [False, True])
def test_bytes_held_for_callers_that_do_not_read_are_bounded(streamed):
    def respond(req):
        blocks = (BODY[:65536] for _ in range(200))
        return Response(200, body=blocks if streamed else BODY)

    with caller_server(respond, write_timeout_s=60.0) as server, ExitStack() as exits:
        size = len(BODY[:65536]) if streamed else len(BODY)
        server.unread = UnreadResponses(4 * (size + UNREAD_OVERHEAD_BYTES) + 100)
        for _ in range(10):
            exits.enter_context(unreading_caller(server))
            gevent.sleep(0.05)
        with gevent.Timeout(WAIT_S):
            while cut_count(server) < 6:
                gevent.sleep(0.02)
        assert server.unread.held_bytes <= server.unread._max_bytes
        assert server.request_count == 4
        last = exits.enter_context(unreading_caller(server))
        received = 0
        while block := last.recv(1_000_000):
            received += len(block)
            if received > len(BODY):
                break
        assert received > len(BODY)
    assert server.unread.held_bytes == 0


# Guards against a caller that reads slowly and loses its response to ones that do not.
def test_caller_that_reads_is_cut_after_those_that_do_not():
    def respond(req):
        return Response(200, body=BODY)

    with caller_server(respond, write_timeout_s=60.0) as server, ExitStack() as exits:
        server.unread = UnreadResponses(3 * (len(BODY) + UNREAD_OVERHEAD_BYTES) + 1_000)
        reading = exits.enter_context(unreading_caller(server))
        gevent.sleep(0.1)
        for _ in range(5):
            exits.enter_context(unreading_caller(server))
            for _ in range(5):
                assert reading.recv(100_000)
                gevent.sleep(0.1)
        with gevent.Timeout(WAIT_S):
            while cut_count(server) < 3:
                gevent.sleep(0.02)
        received = 0
        while received < 2_000_000:
            received += len(reading.recv(65_536))
        assert cut_count(server) == 3
