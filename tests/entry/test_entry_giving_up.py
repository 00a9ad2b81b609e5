"""Tests that a request at which a target is at work is not given up."""

import random
from contextlib import ExitStack
from types import SimpleNamespace

import gevent
import pytest
from entry_helper import FORMATS, config, entry_target, route
from msgspec import structs
from path_helper import CLOCK, caller_server, connect, raw_target, read_head
from result import Ok
from stack_helper import (
    NAMES,
    Stack,
    idempotent_stack,
    not_run,
    parse_response,
    quick_then_slow,
    raw_request,
    running,
    signed,
)
from test_entry_daemon import SETTINGS, configure

from lacewingpond.entry.daemon import EntryDaemon
from lacewingpond.entry.requests.forwarded_body import ForwardedBody
from lacewingpond.entry.settings import check_entry_settings
from lacewingpond.entry.targets.health import ERROR_EVIDENCE, HealthStatus
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.retries.options import RetryOptions
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

CROSSING = 300  # connections that a drain closes at once
TIMEOUT_S = 2.0
WORK_S = 1.3  # longer than half of the time-out, shorter than all of it


@pytest.fixture
def serve():
    """Return a function that starts a stack with one target per `respond`."""
    with ExitStack() as exits:

        def start(*responders, **options):
            return exits.enter_context(
                idempotent_stack(TIMEOUT_S, *responders, **options)
            )

        yield start


def works(req):
    gevent.sleep(WORK_S)
    return signed(req)


def streams_slowly(req):
    def body():
        for _ in range(13):
            yield b"x" * 50_000
            gevent.sleep(WORK_S / 13)

    headers = Headers((("X-Id", req.headers.get("X-Id")), ("X-Signature", "s")))
    return Response(200, headers, body())


def suspect(stack, *target_ids):
    """Record one error response, so that the targets may be unhealthy."""
    for target_id in target_ids or [s.spec.target_id for s in stack.table.all()]:
        stack.table.get(target_id).health.add(CLOCK.now(), 0, ERROR_EVIDENCE, 0)


def timed_call(stack):
    started = CLOCK.now()
    status, headers, body = stack.call("GET")
    return status, headers.get("x-signature"), body, CLOCK.now() - started


def break_off(req):
    raise ConnectionError("the target crashes")


def first_works(seconds, then):
    """Return a responder: the first request works for `seconds`, others get `then`."""
    arrived = []

    def respond(req):
        arrived.append(req)
        if len(arrived) > 1:
            return then(req)
        gevent.sleep(seconds)
        return signed(req, body=b"first")

    respond.arrived = arrived
    return respond


# An attempt that is given up for another one loses the request if that one fails.
@pytest.mark.parametrize("then", [break_off, not_run])
def test_request_at_work_at_a_suspect_target_is_not_given_up_for_another(serve, then):
    respond = first_works(WORK_S, then)
    stack = serve(respond, respond)
    suspect(stack)
    status, _, body = stack.call("GET")
    assert (status, body) == (200, b"first")
    assert len(respond.arrived) == 2


# An overdue attempt must wait on when no retry is left for another one.
def test_request_at_work_at_a_suspect_target_waits_when_the_budget_is_empty(serve):
    respond = first_works(WORK_S, signed)
    stack = serve(respond, respond)
    suspect(stack)
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(0.3)
    while stack.retries.spend("svc"):
        pass
    assert call.get()[0] == 200
    assert len(respond.arrived) == 1


# A connection that only seems silent may carry a request that its target works on.
def test_request_at_work_on_a_connection_marked_as_silent_is_not_given_up(serve):
    respond = first_works(1.8, break_off)
    stack = serve(respond, respond)
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(0.1)
    for pool in stack.client._pools:
        pool._mark_silent(float("inf"))
    status, _, body = call.get()
    assert (status, body) == (200, b"first")
    assert len(respond.arrived) == 2


def test_hang_of_a_suspect_target_is_answered_by_another_before_the_timeout(serve):
    respond = first_works(5.0, signed)
    stack = serve(respond, respond)
    suspect(stack)
    started = CLOCK.now()
    assert stack.call("GET")[0] == 200
    assert CLOCK.now() - started < TIMEOUT_S - 0.5
    assert [state.in_flight for state in stack.table.all()] == [0, 0]


# A request that two targets work on must not be sent to a third one.
def test_overdue_attempt_counts_towards_max_attempts(serve):
    respond = first_works(WORK_S, break_off)
    stack = serve(respond, respond, respond)
    suspect(stack)
    assert stack.call("GET")[0] == 200
    assert len(respond.arrived) == 2


# Nobody may pass on that a request did not run while another target works on it.
def test_refusal_of_the_second_target_is_not_passed_on_as_not_run(serve):
    respond = first_works(5.0, not_run)
    stack = serve(respond, respond)
    suspect(stack)
    status, _, body = stack.call("GET")
    assert status == 504
    assert b"unknown" in body


def hangs_in_the_body(req):
    def body():
        yield b"half"
        gevent.sleep(5.0)

    headers = Headers((("X-Id", req.headers.get("X-Id")), ("X-Signature", "s")))
    headers.add("Content-Length", "100")
    return Response(200, headers, body())


# A response that hangs in its body is superseded too, which is no broken connection of
# its target: only its lateness counts.
def test_response_that_hangs_is_superseded_without_an_ejection(serve):
    stack = serve(hangs_in_the_body, lambda req: signed(req, body=b"second"))
    suspect(stack, "t0")
    stack.table.get("t1").record_connect_failure(CLOCK.now())
    status, _, body = stack.call("GET")
    assert (status, body) == (200, b"second")
    assert stack.table.get("t0").health.status(CLOCK.now()) is HealthStatus.HEALTHY


# Once a long response is forwarded, no second attempt may start that nobody waits for.
def test_overdue_response_that_is_forwarded_is_not_sent_for_again(serve):
    arrived = []

    def respond(req):
        arrived.append(req)
        return streams_slowly(req)

    stack = serve(respond, respond)
    suspect(stack)
    status, _, body, _ = timed_call(stack)
    assert (status, body.endswith(b"\r\n0\r\n\r\n")) == (200, True)
    assert len(arrived) == 1


# Closing a forwarded body that nobody has started to read must free its connection.
def test_forwarded_body_that_was_not_read_closes_its_response():
    closed = []
    response = SimpleNamespace(close=lambda: closed.append(True))
    ForwardedBody([b"block"], response).close()
    assert closed == [True]


# Two requests are overdue and the budget has one retry: the one without must not end
# with half of its time unused.
def test_request_whose_retry_another_request_took_keeps_its_whole_time(serve):
    stack = serve(works, works, reserve=1.0)
    suspect(stack)
    calls = [gevent.spawn(timed_call, stack) for _ in range(2)]
    early = [
        call.get()
        for call in calls
        if call.get()[0] != 200 and call.get()[3] < TIMEOUT_S - 0.1
    ]
    assert early == []


# A request must not be given up at the only target for want of another one.
def test_request_without_another_target_keeps_its_whole_time(serve):
    stack = serve(works)
    suspect(stack)
    status, _, _, took_s = timed_call(stack)
    assert status == 200 or took_s >= TIMEOUT_S - 0.1, (status, took_s)


# The second target of an overdue request is full and rejects it: the first one goes on.
def test_request_that_a_second_target_rejects_keeps_its_whole_time(serve):
    stack = serve(works, not_run)
    suspect(stack, "t0")
    # The backoff lets the second target be picked only as the second one.
    stack.table.get("t1").record_connect_failure(CLOCK.now())
    status, _, body, took_s = timed_call(stack)
    assert status == 200 or took_s >= TIMEOUT_S - 0.1, (status, body, took_s)


# A long response is forwarded as it arrives and can't be retried: half of the time must
# not cut it while its target still sends.
def test_streamed_response_is_not_cut_at_half_of_its_time(serve):
    stack = serve(streams_slowly)
    suspect(stack)
    status, _, body, _ = timed_call(stack)
    assert (status, body.endswith(b"\r\n0\r\n\r\n")) == (200, True), len(body)


# Of three requests to one target, one runs for long, one reaches its own short timeout,
# and one on a newer connection gets its response. The long one must not be given up as
# one on a silent connection.
def test_long_request_is_not_given_up_after_the_timeout_of_another(serve):
    def respond(req):
        gevent.sleep({"long": 1.8, "late": 9.0, "quick": 0.0}[req.headers.get("X-Id")])
        return signed(req)

    stack = serve(respond, reserve=0.0)
    long = gevent.spawn(stack.call, "GET", X_Id="long")
    gevent.sleep(0.05)
    late = gevent.spawn(stack.call, "GET", X_Id="late", X_Deadline_Ms="500")
    gevent.sleep(0.1)
    assert stack.call("GET", X_Id="quick")[0] == 200
    assert late.get()[0] == 504
    status, headers, body = long.get()
    assert status == 200, (headers, body)


# A target is removed, replaced or drained while it works on a request.
@pytest.mark.parametrize("change", ["removed", "draining", "replaced", "unreadable"])
def test_running_request_survives_a_change_of_its_target(serve, change):
    stack = serve(quick_then_slow(0.5))
    spec = stack.table.get("t0").spec
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(0.2)
    if change == "removed":
        stack.put("targets/t0", None)
    elif change == "unreadable":
        stack.put("targets/t0", b"?")
    else:
        fields = {"draining": True} if change == "draining" else {"incarnation": 7}
        stack.add_target(entry_target("t0", spec.address, **fields))
    stack.client.sweep()
    assert call.get()[0] == 200


# The proof of freshness is lost, the limit of connections falls or the client is swept
# while a target works on a request.
def test_running_request_survives_the_loss_of_the_proof_and_a_lower_limit(serve):
    stack = serve(quick_then_slow(0.5))
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(0.2)
    stack.vm.freshness.max_age_s = -1.0
    stack.client.set_connection_limit(1)
    stack.client.sweep()
    stack.client.close()
    assert call.get()[0] == 200


# The target answers before it has read the whole body, and keeps the connection.
def test_early_response_to_a_long_body_is_forwarded():
    def serve_early(sock):
        data = read_head(sock)
        request_id = data.split(b"X-Id: ")[1].split(b"\r\n")[0]
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Id: " + request_id + b"\r\nX-Signature: s\r\n"
            b"Content-Length: 2\r\n\r\nok"
        )
        gevent.sleep(1.0)

    with ExitStack() as exits:
        stack = exits.enter_context(running(Stack(config())))
        target = exits.enter_context(raw_target(serve_early))
        stack.add_target(entry_target("t0", target.address))
        status, _, body = stack.call(body=b"x" * 900_000)
        assert (status, body) == (200, b"ok")


# During a planned stop the daemon must not respond in place of a target that may be
# unhealthy but is at work.
def test_planned_stop_does_not_replace_the_answer_of_a_working_target():
    settings = {**SETTINGS, "bounds": {"stop_grace": "6s"}}
    cfg = config(routes=(route(idempotent=True, timeout_s=TIMEOUT_S),))
    daemon = EntryDaemon(
        check_entry_settings(settings, "settings").unwrap(),
        NAMES,
        structs.replace(FORMATS, decode_config=lambda raw: Ok(cfg)),
        "/ready",
        store := MemoryStore(CLOCK),
        CLOCK,
        random.Random(1),
        RecordingDecisionLog(),
    )
    daemon.start()
    try:
        with caller_server(quick_then_slow(WORK_S)) as target:
            configure(daemon, store, target)
            # A VM's share of the retries in a fleet of 92 VMs.
            daemon._retries.set_options(RetryOptions(0.2, 1.0, 162 / 92))
            daemon._retries._balances["svc"] = 162 / 92
            daemon._reporter.record_failure(
                daemon._reporter._table.get("t0"), "500", ERROR_EVIDENCE
            )
            sock = connect(daemon.server.port)
            sock.sendall(raw_request("id-1"))
            gevent.sleep(0.1)
            stopping = gevent.spawn(daemon.stop)
            answer = sock.recv(65536)
            assert parse_response(answer)[0] == 200, answer
            stopping.get()
    finally:
        daemon.close()
