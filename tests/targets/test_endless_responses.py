"""Tests of targets that send bytes without end instead of a response."""

import time

import gevent
import pytest
from path_helper import plain_request, raw_target, read_head, send, target_client

from lacewingpond.targets.errors import SendReason

BLOCK = b"x" * 65_536
CLOSED_WITHIN_S = 2.0
MAX_SENT_BYTES = 16_777_216  # what a target may write, with the buffers of both kernels
HEAD = b"HTTP/1.1 200 OK\r\n"


class EndlessTarget:
    """Sends `start`, then `block` again and again until its peer closes."""

    def __init__(self, start, block):
        self.start, self.block = start, block
        self.sent_bytes = 0
        self.closed = gevent.event.Event()

    def __call__(self, sock):
        read_head(sock)
        try:
            sock.sendall(self.start)
            while True:
                sock.sendall(self.block)
                self.sent_bytes += len(self.block)
                gevent.sleep(0)
        except OSError:
            self.closed.set()


# Guards against a target's endless bytes taking a VM's memory, processor or connection.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"", BLOCK),
        (HEAD, BLOCK),
        (HEAD, b"X-Field: " + b"y" * 60_000 + b"\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\nX-Field: " + b"y" * 60_000 + b"\r\n\r\n"),
    ],
    ids=["bytes", "line", "fields", "interim"],
)
def test_endless_head_is_closed_and_fails_the_request(start, block, idempotent):
    endless = EndlessTarget(start, block)
    with raw_target(endless) as target:
        request = plain_request(idempotent=idempotent)
        error = send(target_client(), target, request).err()
        assert error.reason is SendReason.PROTOCOL
        assert endless.closed.wait(CLOSED_WITHIN_S)
    assert endless.sent_bytes <= MAX_SENT_BYTES


# Guards against heads that each keep within the limit of lines and add up to megabytes.
def test_head_of_many_long_fields_is_rejected():
    fields = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 2_000) for n in range(190))

    def serve(sock):
        read_head(sock)
        sock.sendall(HEAD + fields + b"Content-Length: 0\r\n\r\n")

    with raw_target(serve) as target:
        error = send(target_client(), target).err()
    assert error.reason is SendReason.PROTOCOL


# Guards against a body that nobody needs being read until a time limit.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("framing", "block"),
    [
        (b"", BLOCK),
        (b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + BLOCK + b"\r\n"),
        (b"Content-Length: 999999999999\r\n", BLOCK),
    ],
    ids=["close", "chunked", "length"],
)
def test_endless_body_of_a_rejected_response_is_closed(framing, block, idempotent):
    endless = EndlessTarget(HEAD + framing + b"\r\n", block)
    with raw_target(endless) as target:
        request = plain_request(idempotent=idempotent)
        response = send(target_client(), target, request).ok()
        response.close()
        assert endless.closed.wait(CLOSED_WITHIN_S)
    assert endless.sent_bytes <= MAX_SENT_BYTES


# Guards against an endless body that is forwarded beyond the time of its request.
def test_endless_body_ends_at_the_deadline():
    endless = EndlessTarget(HEAD + b"\r\n", BLOCK)
    with raw_target(endless) as target:
        request = plain_request(idempotent=True)
        response = send(target_client(), target, request).ok()
        started = time.monotonic()
        response.set_deadline(started + 0.3)
        with pytest.raises(Exception, match="deadline"):
            for _ in response:
                pass
        assert time.monotonic() - started < 1.0
        assert endless.closed.wait(CLOSED_WITHIN_S)
