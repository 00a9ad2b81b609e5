"""Tests of responses without a length that end while the upload is still sent."""

import msgspec
import pytest
from entry_helper import config, entry_target, route
from fleet_helper import lose, running_fleet
from hop_helper import running_hop
from path_helper import caller_server, forward, raw_target, reset, target_client
from stack_helper import Stack, running, signed
from upload_helper import (
    BLOCK,
    CLEAN_ENDS,
    PART,
    RESETS,
    RESETS_AT_ONCE,
    SIGNED,
    UPLOAD_BYTES,
    Upload,
    close_all_read,
    half_close,
    respond_after,
    respond_early,
)

from lacewingpond.entry.requests import forwarded_body

HTTP_10 = SIGNED.replace(b"HTTP/1.1", b"HTTP/1.0")
RELAYED = SIGNED[:-2] + b"Lacewingpond-Relay: response\r\n\r\n"
SHORT_UPLOAD = b"u" * 900_000  # is buffered, so that it can be sent again


def upload(serve, **options):
    """Return an upload through a VM to the raw target `serve`."""
    with running(Stack(config())) as stack, raw_target(serve) as target:
        stack.add_target(entry_target("t0", target.address))
        return Upload(("127.0.0.1", stack.server.port), **options)


def upload_streamed(serve, **options):
    """Return an upload whose response goes out as it arrives."""
    with raw_target(serve) as target:
        handler = forward(target_client(), target, idempotent=False)
        with caller_server(handler) as front:
            return Upload(("127.0.0.1", front.port), **options)


@pytest.fixture(scope="module")
def hop():
    with running_hop() as hop:
        yield hop


@pytest.fixture(params=["direct", "hop"])
def send(request):
    """Return `upload`, or the same over a hop."""
    if request.param == "direct":
        return upload
    hop = request.getfixturevalue("hop")

    def upload_over_hop(serve, **options):
        with hop.to(serve) as vm:
            return Upload((vm.ip, vm.daemon.server.port), **options)

    return upload_over_hop


@pytest.fixture
def begins_early(monkeypatch):
    """Let the body go out before all of the part was read."""
    monkeypatch.setattr(forwarded_body, "MAX_BUFFERED_BYTES", len(PART) // 2)


# Guards against the part of a response that a caller got as a complete one: the send
# that failed took the error with it, and the reader saw an ordinary end of the stream.
@pytest.mark.parametrize("end", RESETS)
def test_response_that_is_reset_during_the_upload_is_no_success(send, end):
    assert send(respond_early(end)).status == 502


# The same for other forms of the upload.
@pytest.mark.parametrize("end", RESETS_AT_ONCE)
@pytest.mark.parametrize(
    "form",
    [{"chunked": True}, {"method": "PUT"}, {"version": "1.0"}, {"pauses": [2, 9]}],
    ids=str,
)
def test_response_to_any_form_of_upload_that_is_reset_is_no_success(send, form, end):
    assert send(respond_early(end), **form).status == 502


@pytest.mark.parametrize("end", RESETS_AT_ONCE)
def test_http_1_0_response_that_is_reset_during_the_upload_is_no_success(send, end):
    assert send(respond_early(end, HTTP_10)).status == 502


# The rest of the upload is sent only after the reset.
def test_response_that_is_reset_in_a_pause_of_the_upload_is_no_success(send):
    serve = respond_after(2 * len(BLOCK), reset)
    assert send(serve, pauses=[2]).status == 502


# An empty part is none either; without a response, a look at what has come may take
# the error.
@pytest.mark.parametrize("end", RESETS_AT_ONCE)
@pytest.mark.parametrize("head", [SIGNED, SIGNED[:30], b""], ids=len)
def test_head_that_is_followed_by_a_reset_is_no_success(send, head, end):
    assert send(respond_early(end, head, part=b"")).status == 502


# The carrier is reset in place of the target.
@pytest.mark.parametrize("end", RESETS_AT_ONCE)
def test_response_of_a_carrier_that_is_reset_during_the_upload_is_no_success(end):
    serve = respond_early(end, RELAYED)
    with running_fleet(signed, size=2, targets=1) as vms, raw_target(serve) as carrier:
        lose(vms[0])
        members = vms[0].daemon.view.members
        members["vm-2"] = msgspec.structs.replace(
            members["vm-2"], relay=carrier.address
        )
        got = Upload((vms[0].ip, vms[0].daemon.server.port))
    assert got.status == 502


# The status has gone out, so that only a missing end can tell the caller.
@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_body_that_has_begun_to_go_out_has_no_end_after_a_reset(
    send, version, end, begins_early
):
    got = send(respond_early(end), version=version)
    assert (got.status, got.body) == (200, None)


@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_body_has_no_end_after_a_reset(version, end):
    got = upload_streamed(respond_early(end), version=version)
    assert (got.status, got.body) == (200, None)


# A response that tells its length is complete with its last byte, however it ends.
@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize(
    ("framing", "body"),
    [
        (b"Content-Length: 7000\r\n\r\n", PART),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"1b58\r\n" + PART + b"\r\n0\r\n\r\n"),
    ],
    ids=["length", "chunks"],
)
def test_whole_response_that_tells_its_end_is_complete_after_a_reset(
    send, framing, body, end
):
    got = send(respond_early(end, SIGNED[:-2] + framing, body))
    assert (got.status, got.body) == (200, PART)


# Guards against a complete response that is refused: its end is that of the stream.
@pytest.mark.parametrize("end", CLEAN_ENDS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_response_that_ends_cleanly_during_the_upload_is_complete(send, version, end):
    got = send(respond_early(end), version=version)
    assert (got.status, got.body) == (200, PART)


@pytest.mark.parametrize("end", CLEAN_ENDS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_body_ends_with_the_stream(version, end):
    got = upload_streamed(respond_early(end), version=version)
    assert (got.status, got.body) == (200, PART)


# The reset that answers the rest of the upload comes after the end of the response.
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_response_that_ends_before_the_reset_is_complete(send, version):
    serve = respond_after(2 * len(BLOCK), close_all_read)
    got = send(serve, version=version, pauses=[2])
    assert (got.status, got.body) == (200, PART)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_response_that_ends_after_the_whole_upload_is_complete(send, version):
    got = send(respond_after(UPLOAD_BYTES, close_all_read), version=version)
    assert (got.status, got.body) == (200, PART)


# No send is left to meet the reset, so that the read does.
def test_response_that_is_reset_after_the_whole_upload_is_no_success(send):
    assert send(respond_after(UPLOAD_BYTES, reset)).status == 502


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_body_that_has_begun_to_go_out_ends_with_the_stream(
    send, version, begins_early
):
    got = send(respond_early(half_close), version=version)
    assert (got.status, got.body) == (200, PART)


# The part must not keep an idempotent request from its next target.
@pytest.mark.parametrize("end", RESETS_AT_ONCE)
def test_idempotent_upload_goes_to_another_target_after_a_reset(end):
    cfg = config(routes=(route(idempotent=True),))
    respond, begun = respond_early(end), []

    def serve(sock):
        begun.append(sock)
        respond(sock)

    with (
        running(Stack(cfg)) as stack,
        raw_target(serve) as broken,
        caller_server(signed) as sound,
    ):
        stack.add_target(entry_target("t0", broken.address))
        stack.add_target(entry_target("t1", f"127.0.0.1:{sound.port}"))
        while not begun:
            status, _, body = stack.call(body=SHORT_UPLOAD)
            assert (status, body) == (200, b"done")
