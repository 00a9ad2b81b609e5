"""Tests of responses whose head is malformed, through a whole request path."""

import pytest
from entry_helper import config, entry_target, route
from hop_helper import running_hop
from path_helper import raw_target, read_head
from stack_helper import Stack, running

OWN = b"X-Id: id-1\r\nX-Signature: s\r\n"
BODY = b"Content-Length: 2\r\n\r\nok"
VALID = b"HTTP/1.1 200 OK\r\n" + OWN + BODY
INVALID_STATUSES = [b"000", b"099", b"20", b"2000", b"+20", b"-20", b"2 0", b""]
INVALID_STATUSES += ["\u0662\u0660\u0660".encode(), b"0x0"]  # Arabic digits
INVALID_STATUSES += [b"20\x00", b"200\x00", b"200\x0b"]
INVALID_NAMES = [b"X Y", b"X\tY", b"X\x00Y", b"X\x01Y", b"X\x0bY", b"X\rY", b"X\x7fY"]
INVALID_NAMES += [b"X\x85Y", b"X ", b" X", b"\tX", b"\x00X", b"X\x1f", b""]


def responding(raw):
    def serve(sock):
        read_head(sock)
        sock.sendall(raw)
        sock.close()

    return serve


def call(raw, idempotent=False):
    """Return what the caller gets when the target sends `raw`."""
    cfg = config(routes=(route(idempotent=idempotent),))
    with running(Stack(cfg)) as stack, raw_target(responding(raw)) as target:
        stack.add_target(entry_target("t0", target.address))
        return stack.call()


@pytest.fixture(scope="module")
def hop():
    with running_hop() as hop:
        yield hop


@pytest.fixture(params=["direct", "hop"])
def send(request):
    """Return `call`, or the same over a hop."""
    if request.param == "direct":
        return call
    hop = request.getfixturevalue("hop")

    def call_over_hop(raw):
        with hop.to(responding(raw)) as vm:
            return vm.call("id-1")

    return call_over_hop


def with_field(name, start=b"HTTP/1.1 200 OK\r\n" + OWN):
    """Return a response with a field of this name before that of its length."""
    return start + name + b": z\r\n" + BODY


def assert_refused(got):
    status, headers, body = got
    assert (status, headers["lacewingpond-run"]) == (502, "unknown")
    assert "x-signature" not in headers
    assert b"ok" not in body


# Without the malformed part the same response is the target's.
def test_valid_response_is_passed_on(send):
    status, headers, body = send(VALID)
    assert (status, headers["x-signature"], body) == (200, "s", b"ok")


# Guards against a response of a faulty target, such as one of status 000, that its
# caller gets as an answer.
@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("idempotent", [False, True])
def test_status_that_is_no_number_of_three_digits_is_refused(status, idempotent):
    raw = b"HTTP/1.1 " + status + b" OK\r\n" + OWN + BODY
    assert_refused(call(raw, idempotent))


# A lenient parser drops such a line, or takes the rest of the head for the body.
@pytest.mark.parametrize("name", INVALID_NAMES)
@pytest.mark.parametrize("idempotent", [False, True])
def test_field_name_with_a_blank_or_a_control_byte_is_refused(name, idempotent):
    assert_refused(call(with_field(name), idempotent))


# The first field has no line before it that it could continue.
@pytest.mark.parametrize("name", INVALID_NAMES)
def test_malformed_name_of_the_first_field_is_refused(name):
    assert_refused(call(with_field(name, b"HTTP/1.1 200 OK\r\n")))


@pytest.mark.parametrize("name", INVALID_NAMES)
def test_malformed_field_of_an_interim_response_is_refused(name):
    interim = b"HTTP/1.1 103 Early Hints\r\n" + name + b": z\r\n\r\n"
    assert_refused(call(interim + VALID))


# Proof that a request has not run must not come from a head that can't be trusted.
@pytest.mark.parametrize("name", INVALID_NAMES)
def test_malformed_field_of_a_proof_is_refused_as_unknown(name):
    proof = b"HTTP/1.1 503 Busy\r\n" + OWN + b"X-Not-Run: 1\r\n"
    assert_refused(call(with_field(name, proof)))


@pytest.mark.parametrize(
    "raw",
    [
        VALID.replace(b"200", b"000"),
        with_field(b"X Y"),
        with_field(b"X\x00Y"),
    ],
)
def test_malformed_head_is_refused_over_a_hop(send, raw):
    assert_refused(send(raw))


# Codes above 599 have no meaning (RFC 9110, section 15).
@pytest.mark.parametrize("status", [b"600", b"666", b"999"])
def test_status_without_a_class_is_refused(status, send):
    assert_refused(send(VALID.replace(b"200", status)))


@pytest.mark.parametrize("status", [b"201", b"299", b"404", b"500", b"599"])
def test_status_with_a_class_is_passed_on(status):
    assert call(VALID.replace(b"200", status))[0] == int(status)


# Chunks are unknown to HTTP/1.0, so that the framing is faulty whatever follows (RFC
# 9112, section 6.1).
@pytest.mark.parametrize(
    "framing",
    [
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n" + BODY,
        b"Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n",
    ],
)
def test_chunked_response_in_http_1_0_is_refused(send, framing):
    assert_refused(send(b"HTTP/1.0 200 OK\r\n" + OWN + framing))


@pytest.mark.parametrize("framing", [BODY, b"\r\nok"])
def test_response_in_http_1_0_is_passed_on(send, framing):
    status, _, body = send(b"HTTP/1.0 200 OK\r\n" + OWN + framing)
    assert (status, body) == (200, b"ok")


# The body is complete with its last chunk (RFC 9112, section 8), and nothing of what is
# malformed here goes to the caller.
@pytest.mark.parametrize(
    "chunks",
    [
        b"2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
        b"2\r\nok\r\n0\r\nX\x00Y: z\r\n\r\n",
        b"2;a=\x00\r\nok\r\n0\r\n\r\n",
    ],
)
def test_malformed_trailer_or_chunk_extension_is_not_passed_on(chunks):
    status, headers, body = call(
        b"HTTP/1.1 200 OK\r\n" + OWN + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    )
    assert (status, headers["content-length"], body) == (200, "2", b"ok")
    assert not any("z" in value for value in headers.values())
