"""Tests of the classification of responses by the load generator."""

import pytest
from path_helper import raw_target, read_head, reset

from lacewingpond.load.caller import Caller, CallOutcome
from lacewingpond.load.plan import RequestKind, WorkspaceLoad
from lacewingpond.load.schedule import ScheduledRequest

UPLOAD_BYTES = 8_000_000


def call(raw, end, method="GET", body_bytes=0):
    def serve(sock):
        read_head(sock)
        sock.sendall(raw)
        end(sock)

    kind = RequestKind("/x", method, body_bytes=body_bytes)
    workspace = WorkspaceLoad("w", "", 1.0, (kind,))
    request = ScheduledRequest(0.0, 1, workspace, kind, "", False, False)
    with raw_target(serve) as daemon:
        return Caller(5.0, 1).send(request, daemon.address).outcome


# Guards against a judge that takes the part of a response for an answer: urllib3 passes
# over the reset that ends it.
@pytest.mark.parametrize("status", [b"200", b"201", b"404"])
def test_part_of_a_response_to_an_upload_is_no_answer(status):
    raw = b"HTTP/1.1 " + status + b" Status\r\n\r\npart"
    assert call(raw, reset, "POST", UPLOAD_BYTES) is CallOutcome.ERROR


# A daemon tells the length of each response in HTTP/1.1, or sends it in chunks.
def test_response_without_a_length_is_no_answer():
    raw = b"HTTP/1.1 200 OK\r\n\r\nwhole"
    assert call(raw, lambda sock: sock.close()) is CallOutcome.ERROR


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ],
)
def test_response_that_tells_its_end_is_an_answer(raw):
    assert call(raw, lambda sock: sock.close()) is CallOutcome.ANSWERED


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    ],
)
def test_response_that_breaks_off_is_no_answer(raw):
    assert call(raw, lambda sock: sock.close()) is CallOutcome.ERROR
