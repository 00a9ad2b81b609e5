"""Tests of requests that wait for admission, behind a real server."""

from contextlib import contextmanager

import gevent
from entry_helper import KEY, config
from msgspec import structs
from path_helper import CLOCK, connect, read_all
from stack_helper import idempotent_stack, parse_response, raw_request, signed

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.admission.queue_admission import QueueAdmission
from lacewingpond.entry.admission.service_capacity import ServiceCapacity

TIMEOUT_S = 2.0
PEER = "10.0.0.99:7000"
SETTLE_S = 0.25  # callers that have left are noticed within 0.1 s


@contextmanager
def loaded_stack(**options):
    """Run a stack with one target at twice its slots."""
    with idempotent_stack(TIMEOUT_S, signed) as stack:
        pipeline, vm = stack.pipeline, stack.vm
        context = pipeline._context
        latencies = stack.overdue.latencies
        capacity = ServiceCapacity(context.placer, stack.table, latencies, vm.fleet)
        stack.admission = QueueAdmission(
            AdmissionOptions(enabled=True, **options), capacity, CLOCK, vm.rng, vm.log
        )
        stack.admission.configure(vm.view.config)
        pipeline._context = structs.replace(context, admission=stack.admission)
        sweeper = gevent.spawn(stack.admission.run)
        fill(stack, 2.0)
        yield stack
        sweeper.kill()


def fill(stack, load):
    state = stack.table.get("t0")
    in_flight = round(load * state.spec.slots)
    state.update_peer_load(PEER, in_flight, CLOCK.now())


def send(stack, number):
    sock = connect(stack.server.port)
    sock.sendall(raw_request(f"id-{number}"))
    return sock


def wait_until(condition):
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.01)


def causes(stack):
    lines = stack.vm.log.lines
    return [f.get("cause", why) for what, _, why, f in lines if what == "admission"]


# Guards against waiting requests that are not served once there is room.
def test_waiting_request_is_served_when_the_load_falls():
    with loaded_stack() as stack:
        call = gevent.spawn(stack.call, "GET")
        wait_until(lambda: stack.admission.waiting == 1)
        fill(stack, 0.5)
        assert call.get(timeout=5.0)[0] == 200
        assert causes(stack) == ["waited"]


# Load pattern: flash crowd. Guards against refusals without a retry time, and against
# refusals that do not say that the request has not run.
def test_refusal_says_not_run_and_when_to_retry():
    with loaded_stack(max_waiting=1) as stack:
        first = gevent.spawn(stack.call, "GET")
        wait_until(lambda: stack.admission.waiting == 1)
        status, headers, body = stack.call("GET")
        assert status == 503 and b"no-room" in body and b"not-run" in body
        assert 0.1 <= float(headers["retry-after"]) <= 5.0
        fill(stack, 0.0)
        assert first.get(timeout=5.0)[0] == 200


# Guards against callers that have left and keep their places.
def test_disconnected_caller_leaves_no_count_behind():
    with loaded_stack() as stack:
        socks = [send(stack, number) for number in range(3)]
        wait_until(lambda: stack.admission.waiting == 3)
        for sock in socks:
            sock.close()
        gevent.sleep(SETTLE_S)
        assert stack.admission.waiting == 0
        assert not stack.pipeline.running
        assert causes(stack) == ["caller-gone"] * 3


# Guards against a stop that cuts waiting requests without a response.
def test_planned_stop_with_a_backlog_answers_each_request():
    with loaded_stack() as stack:
        socks = [send(stack, number) for number in range(3)]
        wait_until(lambda: stack.admission.waiting == 3)
        stack.server.stop_accepting()
        stack.server.drain(0.3)
        for sock in socks:
            status, _, body = parse_response(read_all(sock))
            assert status == 503 and b"not-run" in body
        assert stack.admission.waiting == 0


# Guards against a withdrawn key that is used as its request waited when it was checked.
def test_key_is_checked_again_after_the_wait():
    with loaded_stack() as stack:
        assert KEY in stack.vm.view.config.workspaces["acme"].keys
        call = gevent.spawn(stack.call, "GET")
        wait_until(lambda: stack.admission.waiting == 1)
        formats, withdrawn = stack.vm.view._formats, config(2, workspaces=())
        decoded = type(
            "Decoded", (), {"ok_value": withdrawn, "is_err": lambda _: False}
        )
        stack.vm.view._formats = structs.replace(
            formats, decode_config=lambda raw: decoded()
        )
        stack.put("config", b"2")
        fill(stack, 0.0)
        status, _, body = call.get(timeout=5.0)
        assert status == 503 and b"route-changed" in body
