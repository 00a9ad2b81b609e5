"""Tests of responses that break off in the head or in the body."""

import pytest
from entry_helper import config, entry_target
from fleet_helper import call_through
from path_helper import raw_target, read_head
from stack_helper import Stack, running

BREAKS = [
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Sig",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 1",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nha",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n2",
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: id-1\r\n",
]


def break_off(raw):
    def serve(sock):
        read_head(sock)
        sock.sendall(raw)
        sock.close()

    return serve


# Guards against a success with an empty or short body, from a target that stopped in
# the middle of its response.
@pytest.mark.parametrize("raw", BREAKS, ids=range(len(BREAKS)))
def test_response_that_breaks_off_is_no_success(raw):
    with running(Stack(config())) as stack, raw_target(break_off(raw)) as target:
        stack.add_target(entry_target("t0", target.address))
        assert stack.call()[0] == 502


# Guards against the same between two VMs, where the carrier stops in the middle.
@pytest.mark.parametrize("raw", BREAKS, ids=range(len(BREAKS)))
def test_response_of_a_carrier_that_breaks_off_is_no_success(raw):
    broken = raw.replace(b"X-Id", b"Lacewingpond-Relay: response\r\nX-Id", 1)
    status, headers = call_through(break_off(broken))
    assert status == 502
    assert headers["lacewingpond-run"] == "unknown"
