"""Tests of the path from a caller through the proxy to a target and back."""

import random
import tracemalloc

import gevent
import pytest
from path_helper import (
    caller_server,
    connect,
    exchange,
    forward,
    raw_target,
    read_head,
    target_client,
    target_of,
)

from lacewingpond.http.response import Response

BLOCK = b"0123456789abcdef" * 4096
BLOCKS = 1024
HELD_BYTES_LIMIT = 4 * 1024 * 1024
KEY = "lp_secret_key"


def count_body(req):
    total = sum(len(block) for block in req.body)
    return Response(200, body=str(total).encode())


def large_body(req):
    return Response(200, body=iter([BLOCK] * BLOCKS))


def peak_held(call):
    """Return the peak number of bytes allocated during `call`."""
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("chunked", [True, False])
def test_upload_larger_than_the_memory_limit_is_streamed(chunked):
    responses = []
    with caller_server(count_body) as back:
        handler = forward(target_client(), target_of(back), idempotent=False)
        with caller_server(handler) as front, connect(front.port) as sock:

            def upload():
                length = f"Content-Length: {len(BLOCK) * BLOCKS}"
                framing = "Transfer-Encoding: chunked" if chunked else length
                sock.sendall(
                    f"POST / HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n".encode()
                )
                for _ in range(BLOCKS):
                    if chunked:
                        sock.sendall(b"%x\r\n" % len(BLOCK))
                    sock.sendall(BLOCK)
                    if chunked:
                        sock.sendall(b"\r\n")
                if chunked:
                    sock.sendall(b"0\r\n\r\n")
                responses.append(sock.recv(65536))

            assert peak_held(upload) < HELD_BYTES_LIMIT
    assert str(len(BLOCK) * BLOCKS).encode() in responses[0]


def test_download_larger_than_the_memory_limit_is_streamed():
    received = []
    with caller_server(large_body) as back:
        handler = forward(target_client(), target_of(back))
        with caller_server(handler) as front, connect(front.port) as sock:

            def download():
                sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                total = 0
                while block := sock.recv(65536):
                    total += len(block)
                received.append(total)

            assert peak_held(download) < HELD_BYTES_LIMIT
    assert received[0] > len(BLOCK) * BLOCKS


def test_slow_caller_applies_back_pressure_to_the_target():
    sent_bytes = [0]

    def serve(sock):
        read_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(BLOCKS):
            sock.sendall(b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK))
            sent_bytes[0] += len(BLOCK)

    with raw_target(serve) as target:
        handler = forward(target_client(), target)
        with caller_server(handler) as front, connect(front.port) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            last = -1
            while sent_bytes[0] != last:
                last = sent_bytes[0]
                gevent.sleep(0.1)
            assert sent_bytes[0] < len(BLOCK) * BLOCKS // 2


def test_key_never_reaches_a_target():
    seen = []

    def serve(sock):
        seen.append(read_head(sock))
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    spellings = (
        f"X-Api-Key: {KEY}",
        f"x_api_key: {KEY}",
        f"AUTHORIZATION: bEaReR {KEY}",
        f"Authorization: {KEY}",
        f"Connection: close, x-other\r\nX-Api-Key: {KEY}",
        f"Connection: X-Api-Key\r\nX-Api-Key: {KEY}",
    )
    with raw_target(serve) as target:
        handler = forward(target_client(), target)
        with caller_server(handler) as front:
            for line in spellings:
                head = f"GET / HTTP/1.0\r\nHost: a\r\n{line}\r\n\r\n"
                assert b"200 OK" in exchange(front.port, head.encode())
    assert len(seen) == len(spellings)
    assert not [head for head in seen if KEY.encode() in head]


def echo_some(rng):
    """Return a handler that echoes bodies, some of them late or cut off."""

    def handler(req):
        body = b"".join(req.body)
        gevent.sleep(rng.choice((0.0, 0.0, 0.002)))

        def blocks():
            for start in range(0, len(body), 700):
                yield body[start : start + 700]
                if rng.random() < 0.02:
                    raise RuntimeError("cut")

        return Response(200, body=blocks() if rng.random() < 0.7 else body)

    return handler


def unique_body(caller, number, rng):
    return f"{caller}:{number};".encode() * rng.randrange(1, 400)


def pipeline(bodies):
    return b"".join(
        b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (len(b), b)
        for b in bodies
    )


def parse_responses(data):
    """Return the status and body of each complete response in `data`."""
    bodies = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        if b"chunked" in head:
            body, rest = parse_chunks(rest)
        else:
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            body = rest[:length] if len(rest) >= length else None
            rest = rest[length:]
        if body is None:
            break
        bodies.append((int(head.split()[1]), body))
        data = rest
    return bodies


def parse_chunks(data):
    body = b""
    while b"\r\n" in data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        body += data[:length]
        if len(data) < length + 2:
            break
        data = data[length + 2 :]
        if length == 0:
            return body, data
    return None, b""


def run_caller(port, caller, counts):
    rng = random.Random(caller)
    for turn in range(12):
        numbers = range(turn * 100, turn * 100 + rng.randrange(1, 12))
        bodies = [unique_body(caller, number, rng) for number in numbers]
        with connect(port) as sock:
            sock.sendall(pipeline(bodies))
            data = b""
            leave_after = rng.choice((1, 3000, 1 << 30))
            while len(data) < leave_after:
                sock.settimeout(0.3)
                try:
                    block = sock.recv(65536)
                except (TimeoutError, ConnectionError):
                    break
                if not block:
                    break
                data += block
        responses = parse_responses(data)
        assert len(responses) <= len(bodies)
        for (status, response), body in zip(responses, bodies, strict=False):
            if status == 200:
                assert response == body
                counts["whole"] += 1
            else:
                counts["refused"] += 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_each_response_belongs_to_its_request(idempotent):
    counts = {"whole": 0, "refused": 0}
    with caller_server(echo_some(random.Random(5))) as back:
        client = target_client(caller_check_s=0.005)
        handler = forward(client, target_of(back), idempotent)
        with caller_server(handler) as front:
            callers = [
                gevent.spawn(run_caller, front.port, caller, counts)
                for caller in range(24)
            ]
            gevent.joinall(callers, raise_error=True)
    assert counts["whole"] > 300
