"""Tests of a connection that fails while a request is sent on it."""

import socket

import gevent
import pytest
from gevent.socket import wait_read
from path_helper import raw_target, read_head
from urllib3.exceptions import ProtocolError

from lacewingpond.targets.http_connection import TargetHttpConnection

RESPONSE = b"HTTP/1.1 200 OK\r\n\r\npart"
USER_TIMEOUT_MS = 200


def stalled():
    raise BrokenPipeError


def respond_and_stop(sock):
    read_head(sock)
    sock.sendall(RESPONSE)
    gevent.sleep(9)


# Guards against a part that counts as complete after the target's VM was lost: the send
# takes the error of the kernel's timeout, which is no timeout of the send.
def test_response_is_incomplete_after_the_kernel_has_given_up_the_connection():
    with raw_target(respond_and_stop) as target:
        host, _, port = target.address.rpartition(":")
        conn = TargetHttpConnection(host, int(port), wait_read, stalled)
        conn.timeout = 5.0
        conn.connect()
        conn.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        with pytest.raises(BrokenPipeError):
            body = iter([b"x" * 65_536] * 400)
            conn.request("POST", "/", body=body, chunked=True, preload_content=False)
        response = conn.getresponse()
        assert response.read1(100) == b"part"
        with pytest.raises(ProtocolError):
            response.read1(100)
        conn.close()
