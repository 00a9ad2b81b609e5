"""Tests of hedged requests through a real server: winning, losing and cancelling."""

from contextlib import ExitStack

import gevent
import pytest
from entry_helper import decisions, route
from msgspec import structs
from path_helper import CLOCK, caller_server, connect
from stack_helper import not_run, raw_request, signed
from test_entry_hedge import LONG, NO_PORT, after, break_off, busy, first, in_parts
from test_entry_hedge import in_turn as respond_in_turn
from test_entry_hedge_cancelled import address, assert_nothing_left, start

from lacewingpond.entry.hedging.hedging import Hedging
from lacewingpond.entry.hedging.options import HedgingOptions
from lacewingpond.entry.relay.headers import ATTEMPTS_HEADER
from lacewingpond.entry.targets.health import EJECT_SCORE
from lacewingpond.entry.targets.latency import RouteLatency

OBJECTIVE_S = 0.5
# Below the percentile from which one request alone shows that a target may hang.
PERCENTILE = 0.8
HEDGED_S = RouteLatency(OBJECTIVE_S).exceeded_by(1.0 - PERCENTILE)
LATE_S = HEDGED_S + 0.9
BUDGETED = 10  # idempotent requests that earn two hedges


@pytest.fixture
def serve():
    """Return a function that starts a stack with a target for each responder.

    The targets are picked in order; one without a responder refuses connections.
    """
    with ExitStack() as exits:

        def start_stack(*responders, max_extra=0.2, **fields):
            addresses = [address(exits, r) if r else NO_PORT for r in responders]
            fields = {"timeout_s": 3.0, "target_latency_s": OBJECTIVE_S, **fields}
            stack = start(exits, *addresses, suspect=False, **fields)
            hedging = Hedging(HedgingOptions(max_extra, PERCENTILE), stack.retries)
            context = stack.pipeline._context
            stack.pipeline._context = structs.replace(context, hedging=hedging)
            stack.hedging = hedging
            for _ in range(BUDGETED):
                stack.retries.earn("svc")
                hedging.earn("svc", route(idempotent=True))
            return stack

        yield start_stack


def reasons(stack):
    return [why for _, why in decisions(stack.vm.log, "hedge")]


def connections(stack):
    return [stack.client.connections(s.target) for s in stack.table.all()]


# The response of a slow target is waited for although another target is idle; its
# connection, reused later, would carry that response to another request.
def test_hedge_that_wins_serves_the_caller_and_closes_the_slow_connection(serve):
    stack = serve(after(LATE_S, first), signed)
    started = CLOCK.now()
    status, _, body = stack.call("GET")
    assert (status, body) == (200, b"done")
    assert CLOCK.now() - started < LATE_S - 0.3
    assert reasons(stack) == ["started", "won"]
    gevent.sleep(0.05)
    assert connections(stack) == [0, 1]
    assert_nothing_left(stack)
    # One slow request does not show that the target hangs.
    assert stack.table.get("t0").health.score < EJECT_SCORE


# Only the short latencies of hedges were counted, so that requests are hedged ever
# earlier and more waits count as evidence against sound targets.
def test_wait_of_the_attempt_that_loses_counts_as_a_latency_of_the_route(serve):
    observed_s = []

    class Recorded(RouteLatency):
        def observe(self, latency_s):
            observed_s.append(latency_s)

    stack = serve(after(LATE_S, first), signed)
    stack.overdue.latencies._routes["r"] = Recorded(OBJECTIVE_S)
    assert stack.call("GET")[2] == b"done"
    assert len(observed_s) == 2
    assert max(observed_s) >= HEDGED_S


# The hedge goes on at its target after the first attempt has served the caller.
def test_hedge_that_loses_is_cancelled_and_its_connection_closed(serve):
    stack = serve(after(HEDGED_S + 0.3, first), after(5.0))
    assert stack.call("GET")[2] == b"first"
    assert reasons(stack) == ["started", "lost"]
    gevent.sleep(0.05)
    assert connections(stack) == [1, 0]
    assert_nothing_left(stack)


# The first attempt breaks off while the hedge is at work.
def test_failure_of_the_first_attempt_does_not_end_the_request_before_the_hedge(serve):
    stack = serve(after(HEDGED_S + 0.2, break_off), after(0.5))
    status, _, body = stack.call("GET")
    assert (status, body) == (200, b"done")
    assert reasons(stack) == ["started", "won"]


# A busy target rejects the hedge: the first attempt goes on, and no more extra work
# is sent to targets without free slots.
def test_rejected_hedge_leaves_the_first_attempt_and_stops_hedging(serve):
    second = respond_in_turn(not_run)
    stack = serve(after(HEDGED_S + 0.15, first), second)
    calls = [stack.call("GET", X_Id=f"id-{number}") for number in range(2)]
    assert [body for _, _, body in calls] == [b"first"] * 2
    assert len(second.arrived) == 1
    assert reasons(stack) == ["started", "lost"]
    assert stack.hedging._counts["refused-rejections"] == 1


# Nothing was sent, but the budgets are charged, so that later requests go unhedged.
def test_hedge_that_is_not_sent_refunds_both_budgets(serve):
    stack = serve(after(LATE_S, first), None)
    stack.retries.spend("svc")
    before = stack.retries._balances["svc"]
    extra = stack.hedging._extra._balances["svc"]
    assert stack.call("GET")[2] == b"first"
    assert reasons(stack) == ["started", "lost"]
    assert stack.retries._balances["svc"] >= before
    assert stack.hedging._extra._balances["svc"] >= extra


# Both targets work on for a caller that has left, or after the end of a planned stop.
@pytest.mark.parametrize("stops", [False, True])
def test_both_targets_of_a_hedged_request_are_freed(serve, stops):
    stack = serve(after(3.0), after(3.0))
    sock = connect(stack.server.port)
    sock.sendall(raw_request("id-1"))
    gevent.sleep(HEDGED_S + 0.15)
    assert busy(stack) == 2
    if stops:
        stack.server.drain(0.2)
    sock.close()
    gevent.sleep(0.6)
    assert_nothing_left(stack)
    assert reasons(stack) == ["started", "lost"]


# A second run, a third target beyond the route's limit, and extra work that is not
# allowed: each reaches a target that must not get the request.
@pytest.mark.parametrize(
    "fields",
    [{"idempotent": False}, {"max_attempts": 1}, {"max_extra": 0.0}],
    ids=lambda fields: next(iter(fields)),
)
def test_request_that_must_not_be_hedged_reaches_one_target(serve, fields):
    second = respond_in_turn(signed)
    stack = serve(after(HEDGED_S + 0.1, first), second, **fields)
    assert stack.call("GET")[2] == b"first"
    assert (second.arrived, reasons(stack)) == ([], [])


# The caller already reads the response of the first target when the request is slow.
def test_response_that_began_to_stream_is_not_replaced(serve):
    second = respond_in_turn(signed)
    slow = in_parts((0.0, LONG), *[(0.1, 1000)] * 10)
    stack = serve(slow, second)
    status, _, body = stack.call("GET")
    assert (status, body.endswith(b"\r\n0\r\n\r\n")) == (200, True)
    assert second.arrived == []


# A request that crashes targets would crash one more.
def test_request_that_is_quarantined_meanwhile_is_not_hedged(serve):
    second = respond_in_turn(signed)
    stack = serve(after(LATE_S, first), second)
    call = gevent.spawn(stack.call, "GET")
    gevent.sleep(HEDGED_S / 2)
    (request,) = stack.pipeline.running
    for _ in range(3):
        stack.pipeline._context.quarantine.record_crash(request.fingerprint)
    assert call.get()[2] == b"first"
    assert second.arrived == []


# Attempts that the relaying VM has made count towards the limit of the route.
def test_relayed_request_counts_the_attempts_made_elsewhere(serve):
    second = respond_in_turn(signed)
    stack = serve(after(LATE_S, first), second)
    with caller_server(stack.pipeline.handle_relayed) as server:
        stack.server, own = server, stack.server
        assert stack.call("GET", **{ATTEMPTS_HEADER: "1"})[2] == b"first"
        stack.server = own
    assert second.arrived == []
