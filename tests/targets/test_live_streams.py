"""Tests that a response that arrives is not ended on a belief about its connection."""

import gevent
from path_helper import (
    CLOCK,
    caller_server,
    plain_request,
    send,
    target_client,
    target_of,
)

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.targets.errors import SendReason, TruncatedResponseError

PAUSE_S = 2.0  # silence counts from 1 s, and is checked for at 1.6 s
EVENTS = 3


def get(path):
    return plain_request(path=path, idempotent=True)


def events_or_hang(req):
    if req.path == "/hang":
        gevent.sleep(1.0)
    if req.path != "/events":
        return Response(200, Headers(), b"ok")

    def body():
        for _ in range(EVENTS):
            yield b"event\n"
            gevent.sleep(PAUSE_S)

    return Response(200, Headers(), body())


# Another request times out on a kept connection, and one on a new connection is
# answered: all older connections are marked as silent, also one whose response is
# arriving. After a pause of 1 s it is cut, though its target sends on.
def test_stream_with_pauses_is_not_cut_after_the_timeout_of_another_request():
    with caller_server(events_or_hang) as server:
        client, target = target_client(), target_of(server)
        stream = send(client, target, get("/events")).ok()
        blocks = iter(stream)
        assert next(blocks) == b"event\n"
        for _ in send(client, target, get("/quick")).ok():
            pass
        late = send(client, target, get("/hang"), timeout_s=0.3)
        assert late.err().reason is SendReason.DEADLINE
        assert send(client, target, get("/quick")).is_ok()
        started = CLOCK.now()
        try:
            rest = b"".join(blocks)
        except TruncatedResponseError as exc:
            cut = (exc.reason, round(CLOCK.now() - started, 1))
            raise AssertionError(cut) from exc
        assert rest == b"event\n" * (EVENTS - 1)
