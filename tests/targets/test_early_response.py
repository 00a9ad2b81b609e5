"""Tests of the decision whether a target responded before it read the whole body."""

import socket

import gevent
import pytest
from path_helper import plain_request, raw_target, read_head, send, target_client

from lacewingpond.targets.early_response import holds_final_response, peek
from lacewingpond.targets.errors import SendFailure, SendReason

ID_HEADER = "X-Id"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
OWN = OK + b"X-Id: own\r\nContent-Length: 2\r\n\r\nok"
OTHER = OK + b"X-Id: old\r\nContent-Length: 3\r\n\r\nold"
OTHER_CHUNKED = (
    OK + b"X-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
)
CHUNK_LINE_AT = OTHER_CHUNKED.index(b"3\r\nold")
SLOW_BODY_BLOCKS = 400  # of 65,536 bytes; longer than what the buffers take


def is_early(data, expected_id="own", method="POST"):
    return holds_final_response(data, method, ID_HEADER, expected_id)


# The rest of the body must be sent after an interim response, whole or in part.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        INTERIM * 2,
        INTERIM[:-2],
        INTERIM + OK,
    ],
)
def test_interim_response_is_not_early(data):
    assert not is_early(data)


# A late second response to an earlier request must not keep this one from being sent.
def test_response_to_another_request_with_a_length_is_not_early():
    assert not is_early(OTHER)
    assert not is_early(OTHER + INTERIM + OTHER)


# What is missing may still arrive; a body must not be taken for the next head.
@pytest.mark.parametrize("response", [OTHER, OTHER_CHUNKED])
def test_no_part_of_a_response_to_another_request_is_early(response):
    early = [n for n in range(len(response) + 1) if is_early(response[:n])]
    assert early == []


# The end of a chunked response is known, so what follows it can be told apart.
def test_own_response_after_a_chunked_one_to_another_request_is_early():
    assert is_early(OTHER_CHUNKED + OWN)


# The parser skips no response to another request that has no length or is too long, so
# nothing after it can be found: its error must not wait for the rest of the body.
@pytest.mark.parametrize(
    "head",
    [
        OK + b"X-Id: old\r\n\r\n",
        OK + b"X-Id: old\r\nContent-Length: 9999999\r\n\r\n",
    ],
)
def test_response_to_another_request_that_is_not_skipped_is_early(head):
    assert is_early(head)


# The real early response must end the sending, also after bytes that do not.
@pytest.mark.parametrize("before", [b"", INTERIM, OTHER, OTHER + INTERIM])
def test_own_response_is_early(before):
    assert is_early(before + OWN)


# A response without an id, or to a request without one, may be the response.
def test_response_without_an_id_is_early():
    assert is_early(OK + b"Content-Length: 2\r\n\r\n")
    assert is_early(OTHER, expected_id=None)
    assert holds_final_response(OTHER, "POST")


# Only a whole head shows whose response it is.
def test_part_of_a_head_is_not_early():
    head_bytes = OWN.index(b"\r\n\r\n") + 4
    assert [is_early(OWN[:n]) for n in range(head_bytes)] == [False] * head_bytes
    assert is_early(OWN[:head_bytes])


# Bytes that can't become a response are reported at once instead of at the deadline.
@pytest.mark.parametrize(
    "data",
    [
        b"garbage\r\n",
        INTERIM + b"garbage\r\n",
        OTHER + b"garbage\r\n",
        OK + b"X: a\x00\r\n",
        OK + b"X-Id: old\r\nContent-Length: -1\r\n\r\n",
        OTHER_CHUNKED[:CHUNK_LINE_AT] + b"?\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"HTTP/1.1 200 " + b"x" * 70_000,
        INTERIM * 20,
        OTHER * 9,
    ],
)
def test_malformed_bytes_are_early(data):
    assert is_early(data)


# A peek returns only the bytes before an end of stream, which would never be noticed.
@pytest.mark.parametrize("data", [b"", INTERIM])
def test_peek_tells_an_end_of_stream_from_a_pause(data):
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        with ours, server.accept()[0] as theirs:
            theirs.sendall(data)
            gevent.sleep(0.05)
            assert peek(ours) == (data, False)
            theirs.shutdown(socket.SHUT_WR)
            gevent.sleep(0.05)
            assert peek(ours) == (data, True)
            assert peek(ours) == (data, True)


def send_slow_body(serve, timeout_s=3.0, **values):
    """Send a long body to the raw target `serve`; returns the result."""
    with raw_target(serve) as target:
        client = target_client(caller_check_s=0.02, answer_id_header=ID_HEADER)
        body = iter([b"x" * 65536] * SLOW_BODY_BLOCKS)
        req = plain_request("POST", body=body, **values)
        req.headers.add(ID_HEADER, "own")
        return send(client, target, req, timeout_s)


def leave_open(sock):
    gevent.sleep(9)


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(9)


def reset(sock):
    """Return, upon which the server closes the connection with unread bytes."""


# The first part of the head decides nothing: the response is lost if nobody looks
# at the rest, which arrives while no byte of the body can be sent.
@pytest.mark.parametrize("end", [leave_open, half_close, reset])
def test_early_response_whose_head_comes_in_parts_reaches_the_caller(end):
    def serve(sock):
        read_head(sock)
        for part in (OWN[:25], OWN[25:]):
            sock.sendall(part)
            gevent.sleep(0.2)
        end(sock)

    result = send_slow_body(serve)
    assert result.is_ok(), result.err()
    assert (result.ok().status, b"".join(result.ok())) == (200, b"ok")


# No response can follow the end of the stream: waiting for the deadline is useless, and
# a timeout would hide that the target broke the connection.
@pytest.mark.parametrize("data", [b"", OWN[:25], INTERIM, OTHER])
def test_end_of_stream_before_the_response_is_a_broken_connection(data):
    def serve(sock):
        read_head(sock)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        gevent.sleep(9)

    error = send_slow_body(serve).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.BROKEN)


# A malformed response must be reported as such and not as a late one.
def test_malformed_bytes_before_the_body_is_read_are_a_protocol_error():
    def serve(sock):
        read_head(sock)
        sock.sendall(b"garbage\r\n\r\n")
        gevent.sleep(9)

    error = send_slow_body(serve).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.PROTOCOL)


# A target that hangs before it reads the body kept its request until the deadline.
def test_overdue_request_whose_body_is_not_read_is_superseded():
    polled = []

    def on_overdue():
        polled.append(True)
        return len(polled) == 3

    def serve(sock):
        gevent.sleep(9)

    error = send_slow_body(serve, on_overdue=on_overdue, overdue_at=0.0).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.SUPERSEDED)
    assert len(polled) == 3
