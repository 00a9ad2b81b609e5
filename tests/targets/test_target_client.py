"""Tests of the client for targets: send errors, responses and connection reuse."""

import random
import socket

import gevent
import pytest
from gevent.event import Event
from path_helper import (
    caller_server,
    plain_request,
    raw_target,
    read_head,
    send,
    target_client,
    target_of,
)

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.http.errors import BodyFailure, RequestBodyError
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.targets.errors import SendFailure, SendReason, TruncatedResponseError
from lacewingpond.targets.response import ResponseEnd

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def responding(*responses, after=lambda sock: None):
    """Return a handler that sends one response for each request on a connection."""

    def serve(sock):
        for response in responses:
            if not read_head(sock):
                return
            sock.sendall(response)
        after(sock)

    return serve


def body_of(result):
    return b"".join(result.ok())


def test_refused_connection_is_not_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        target = Target("t", f"127.0.0.1:{unused.getsockname()[1]}")
        error = send(target_client(), target).err()
    assert (error.failure, error.reason) == (SendFailure.NOT_SENT, SendReason.CONNECT)


def test_connect_timeout_is_not_sent():
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        target = Target("t", f"127.0.0.1:{full.getsockname()[1]}")
        queued = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
            queued.append(sock)
        error = send(target_client(connect_timeout_s=0.05), target).err()
        for sock in queued:
            sock.close()
    assert (error.failure, error.reason) == (SendFailure.NOT_SENT, SendReason.CONNECT)


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.1:x", ""])
def test_request_to_invalid_address_is_not_sent(address):
    assert send(target_client(), Target("t", address)).err().failure is (
        SendFailure.NOT_SENT
    )


def test_request_after_its_deadline_is_not_sent():
    error = send(target_client(), Target("t", "127.0.0.1:9"), timeout_s=-1.0).err()
    assert (error.failure, error.reason) == (SendFailure.NOT_SENT, SendReason.DEADLINE)


def test_request_with_header_that_urllib3_rejects_is_not_sent():
    with raw_target(responding(OK)) as target:
        req = plain_request()
        req.headers.add("X", "@@@SKIP_HEADER@@@")
        assert send(target_client(), target, req).err().failure is SendFailure.NOT_SENT


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 20",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX: 1\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
)
def test_connection_closed_after_the_request_is_unknown(sent):
    with raw_target(responding(sent)) as target:
        error = send(target_client(), target).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.BROKEN)


def test_no_response_by_the_deadline_is_unknown():
    with raw_target(responding(b"", after=lambda sock: gevent.sleep(9))) as target:
        error = send(target_client(), target, timeout_s=0.05).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.DEADLINE)


def test_caller_body_cut_off_is_unknown_and_closes_the_connection():
    def cut_body():
        yield b"begun"
        raise RequestBodyError(BodyFailure.DISCONNECTED, "cut")

    with raw_target(responding(OK)) as target:
        client = target_client()
        error = send(client, target, plain_request("POST", body=cut_body())).err()
        assert client.connections(target) == 0
    assert (error.failure, error.reason) == (
        SendFailure.UNKNOWN,
        SendReason.CALLER_BODY,
    )


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20 + OK,
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
        b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: a\x00\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 300 + b"\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
    ],
)
def test_response_with_ambiguous_framing_is_unknown(response):
    with raw_target(responding(response)) as target:
        client = target_client()
        error = send(client, target).err()
        assert client.connections(target) == 0
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.PROTOCOL)


def test_interim_responses_are_skipped():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    interim += b"HTTP/1.1 100 Continue\r\n\r\n"
    with raw_target(responding(interim + OK)) as target:
        result = send(target_client(), target)
        assert result.ok().status == 200
        assert body_of(result) == b"ok"


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
    ],
)
def test_truncated_response_raises_and_closes_the_connection(response):
    with raw_target(responding(response)) as target:
        client = target_client()
        result = send(client, target)
        with pytest.raises(TruncatedResponseError):
            body_of(result)
        assert result.ok().end is ResponseEnd.CUT
        assert client.connections(target) == 0


def test_deadline_is_sent_to_the_target():
    def handler(req):
        return Response(200, body=req.headers.get("Lacewingpond-Deadline-Ms").encode())

    with caller_server(handler) as server:
        assert 0 < int(body_of(send(target_client(), target_of(server)))) <= 5000


def test_connection_is_reused_after_a_complete_response_only():
    opened = []

    def serve(sock):
        opened.append(sock)
        responding(OK, OK, OK)(sock)

    with raw_target(serve) as target:
        client = target_client()
        assert body_of(send(client, target)) == b"ok"
        assert body_of(send(client, target)) == b"ok"
        assert len(opened) == 1
        send(client, target).ok().close()
        assert body_of(send(client, target)) == b"ok"
        assert len(opened) == 2


@pytest.mark.parametrize(
    ("method", "response"),
    [
        ("GET", OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"),
        ("HEAD", OK),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\nstray"),
        ("GET", b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"),
    ],
)
def test_connection_with_bytes_after_the_response_is_closed(method, response):
    with raw_target(responding(response, OK)) as target:
        client = target_client()
        body_of(send(client, target, plain_request(method, idempotent=True)))
        assert client.connections(target) == 0


def test_connection_that_the_target_closed_is_replaced_before_use():
    with raw_target(responding(OK)) as target:
        client = target_client()
        for _ in range(3):
            assert body_of(send(client, target, plain_request("POST"))) == b"ok"


def test_non_idempotent_request_uses_only_a_recently_active_connection():
    opened = []

    def serve(sock):
        opened.append(sock)
        responding(OK, OK, OK)(sock)

    with raw_target(serve) as target:
        client = target_client(fresh_s=0.0)
        body_of(send(client, target))
        gevent.sleep(0.001)
        body_of(send(client, target, plain_request(idempotent=True)))
        assert len(opened) == 1
        gevent.sleep(0.001)
        body_of(send(client, target, plain_request("POST")))
        assert len(opened) == 2


def test_connections_to_a_target_stay_within_this_vms_share():
    peak, now = [0], [0]

    def handler(req):
        now[0] += 1
        peak[0] = max(peak[0], now[0])
        gevent.sleep(0.02)
        now[0] -= 1
        return Response(200, body=b"ok")

    with caller_server(handler) as server:
        target = target_of(server)
        client = target_client()
        service = Service("s", targets=(target,), connections_per_target=12)
        client.apply(Config(services=(service,)), vm_count=4)
        jobs = [gevent.spawn(send, client, target) for _ in range(10)]
        results = [job.get() for job in jobs]
        refused = [result.err() for result in results if result.is_err()]
        assert client.connections(target) == 3
        assert len(refused) == 7
        assert {error.reason for error in refused} == {SendReason.CONNECTION_LIMIT}
        assert {error.failure for error in refused} == {SendFailure.NOT_SENT}
        assert [body_of(result) for result in results if result.is_ok()] == [b"ok"] * 3
        assert peak == [3]


def test_idempotent_request_is_cancelled_when_its_caller_disconnects():
    closed = Event()

    def after(sock):
        assert sock.recv(100) == b""
        closed.set()

    with raw_target(responding(b"", after=after)) as target:
        req = plain_request(idempotent=True, is_disconnected=lambda: True)
        error = send(target_client(caller_check_s=0.01), target, req).err()
        assert error.reason is SendReason.CALLER_DISCONNECTED
        assert closed.wait(5.0)


def test_non_idempotent_request_finishes_after_its_caller_disconnects():
    finished = Event()

    def serve(sock):
        read_head(sock)
        gevent.sleep(0.05)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        sock.sendall(b"x" * 100_000)
        assert sock.recv(100) == b""
        finished.set()

    with raw_target(serve) as target:
        client = target_client(caller_check_s=0.01)
        req = plain_request("POST", is_disconnected=lambda: True)
        response = send(client, target, req).ok()
        ends = []
        response.on_end = ends.append
        response.close()
        assert finished.wait(5.0)
        assert ends == [ResponseEnd.COMPLETE]
        assert client.connections(target) == 0


def silent_after_first(sockets):
    """Return a handler that responds once only on the first connections.

    `sockets` collects the connections; up to a length of 2 they go silent.
    """

    def serve(sock):
        sockets.append(sock)
        if len(sockets) <= 2:
            responding(OK, after=lambda s: gevent.sleep(9))(sock)
        else:
            responding(OK, OK, OK)(sock)

    return serve


def test_silent_connections_are_distinguished_from_a_faulty_target():
    with raw_target(silent_after_first([])) as target:
        client = target_client()
        reported = []
        client.on_silent_connections = lambda target_id, count: reported.append(
            (target_id, count)
        )
        first, second = (send(client, target) for _ in range(2))
        assert body_of(first) + body_of(second) == b"okok"
        gevent.sleep(0.001)
        req = plain_request(idempotent=True)
        error = send(client, target, req, timeout_s=0.05).err()
        assert (error.reason, error.reused) == (SendReason.DEADLINE, True)
        assert client.connections(target) == 0
        assert body_of(send(client, target, req)) == b"ok"
        assert reported == [("t", 1)]


def test_timeout_while_a_newer_connection_responds_is_a_silent_connection():
    with raw_target(silent_after_first([None])) as target:
        client = target_client()
        assert body_of(send(client, target)) == b"ok"
        gevent.sleep(0.001)
        req = plain_request(idempotent=True)
        late = gevent.spawn(send, client, target, req, 0.2)
        gevent.sleep(0.01)
        assert body_of(send(client, target)) == b"ok"
        error = late.get().err()
        assert error.reason is SendReason.SILENT_CONNECTION
        assert error.failure is SendFailure.UNKNOWN


def test_request_waiting_on_a_silent_connection_is_given_up_early():
    with raw_target(silent_after_first([])) as target:
        client = target_client(silent_after_s=0.05, caller_check_s=0.02)
        first, second = (send(client, target) for _ in range(2))
        assert body_of(first) + body_of(second) == b"okok"
        gevent.sleep(0.001)
        req = plain_request(idempotent=True)
        short = gevent.spawn(send, client, target, req, 0.1)
        long = gevent.spawn(send, client, target, req, 3600.0)
        gevent.sleep(0.01)
        assert body_of(send(client, target, req)) == b"ok"
        reasons = {job.get().err().reason for job in (short, long)}
        assert reasons == {SendReason.SILENT_CONNECTION}


def test_timeouts_of_half_the_requests_are_not_taken_for_silent_connections():
    rng = random.Random(3)

    def handler(req):
        if rng.random() < 0.5:
            gevent.sleep(0.3)
        return Response(200, body=b"ok")

    reasons = []

    def caller(client, target):
        req = plain_request(idempotent=True)
        for _ in range(25):
            result = send(client, target, req, timeout_s=0.04)
            if result.is_ok():
                body_of(result)
            else:
                reasons.append(result.err().reason)

    with caller_server(handler) as server:
        target = target_of(server)
        client = target_client()
        callers = [gevent.spawn(caller, client, target) for _ in range(4)]
        gevent.joinall(callers, raise_error=True)
    assert reasons.count(SendReason.DEADLINE) >= 30
    assert reasons.count(SendReason.SILENT_CONNECTION) <= 4


def test_target_without_responses_is_not_taken_for_silent_connections():
    def serve(sock):
        responding(b"", after=lambda s: gevent.sleep(9))(sock)

    with raw_target(serve) as target:
        client = target_client()
        for _ in range(3):
            error = send(client, target, timeout_s=0.02).err()
            assert error.reason is SendReason.DEADLINE


def test_response_before_the_body_is_read_reaches_the_caller():
    def serve(sock):
        read_head(sock)
        sock.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
        gevent.sleep(9)

    with raw_target(serve) as target:
        client = target_client(caller_check_s=0.02)
        body = iter([b"x" * 65536] * 400)
        result = send(client, target, plain_request("POST", body=body))
        assert result.ok().status == 413
        assert body_of(result) == b"no"
        assert client.connections(target) == 0


def test_request_whose_body_is_not_read_fails_at_the_deadline():
    with raw_target(lambda sock: gevent.sleep(9)) as target:
        client = target_client(caller_check_s=0.02)
        body = iter([b"x" * 65536] * 400)
        req = plain_request("POST", body=body)
        error = send(client, target, req, timeout_s=0.05).err()
    assert (error.failure, error.reason) == (SendFailure.UNKNOWN, SendReason.DEADLINE)


@pytest.mark.parametrize("length", [5, None])
def test_framing_matches_the_body_that_is_sent(length):
    def handler(req):
        assert req.body.content_length == length
        return Response(200, body=b"".join(req.body))

    with caller_server(handler) as server:
        req = plain_request("POST", body=(b"he", b"llo"), content_length=length)
        req.headers.add("Content-Length", "7")
        assert body_of(send(target_client(), target_of(server), req)) == b"hello"


def test_header_order_and_repeated_headers_are_kept():
    seen = []

    def handler(req):
        seen.extend(value for name, value in req.headers if name == "X-A")
        pairs = (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
        return Response(200, Headers(pairs), b"ok")

    with caller_server(handler) as server:
        req = plain_request()
        for value in ("1", "2", "\xe9"):
            req.headers.add("X-A", value)
        response = send(target_client(), target_of(server), req).ok()
        assert response.headers.get_all("Set-Cookie") == ["a=1", "b=2"]
        assert seen == ["1", "2", "\xe9"]
        response.close()
