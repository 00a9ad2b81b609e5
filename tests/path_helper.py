"""Servers, clients and raw sockets on loopback for tests of HTTP requests."""

import random
import socket
import struct
from contextlib import contextmanager

from gevent.server import StreamServer

from lacewingpond.config.model import Target
from lacewingpond.http.headers import Headers
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.http.server import CallerServer
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.errors import SendFailure
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.request import TargetRequest
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

CLOCK = RuntimeClock()
WAIT_S = 5.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0 s


@contextmanager
def caller_server(handler, **options):
    """Run a server for callers and yield it; `server.log` records its decisions."""
    server = CallerServer.from_options(
        HttpOptions(**options), handler, RecordingDecisionLog(), CLOCK
    )
    server.start()
    try:
        yield server
    finally:
        server.stop()


@contextmanager
def raw_target(serve):
    """Run `serve(sock)` for each connection and yield the target's address."""
    server = StreamServer(("127.0.0.1", 0), lambda sock, _: serve(sock))
    server.start()
    try:
        yield Target("t", f"127.0.0.1:{server.server_port}")
    finally:
        server.stop(0)


def reset(sock):
    """Reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def target_of(server):
    return Target("t", f"127.0.0.1:{server.port}")


def target_client(**options):
    return TargetClient.from_options(
        TargetOptions(**options), CLOCK, random.Random(1), RecordingDecisionLog()
    )


def forward(client, target, idempotent=True, timeout_s=WAIT_S):
    """Return a handler that forwards each request to `target`."""

    def handler(req):
        sent = TargetRequest.from_request(req, idempotent)
        result = client.send(target, sent, CLOCK.now() + timeout_s)
        if result.is_err():
            error = result.err()
            ran = error.failure is SendFailure.UNKNOWN
            run = RunState.UNKNOWN if ran else RunState.NOT_RUN
            return refusal_response(502, run, error.reason.value, error.detail)
        response = result.ok()
        return Response(response.status, response.headers, response, response.reason)

    return handler


def plain_request(method="GET", path="/", **values):
    return TargetRequest(method, path, Headers((("Host", "t"),)), **values)


def send(client, target, req=None, timeout_s=WAIT_S):
    return client.send(target, req or plain_request(), CLOCK.now() + timeout_s)


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(WAIT_S)
    return sock


def read_all(sock):
    """Return all bytes until the peer closes the connection."""
    blocks = []
    while block := sock.recv(65536):
        blocks.append(block)
    return b"".join(blocks)


def exchange(port, raw):
    """Send `raw` on a new connection and return all bytes received."""
    with connect(port) as sock:
        sock.sendall(raw)
        return read_all(sock)


def read_head(sock):
    """Return bytes up to the end of the headers; none if the peer closes first."""
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(65536)
        if not block:
            return b""
        data += block
    return data


def status_of(response):
    return int(response.split(b" ", 2)[1])
