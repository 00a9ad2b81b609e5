"""Tests of pipelined requests behind the entry daemon's pipeline."""

from contextlib import contextmanager

import gevent
from entry_helper import KEY, config, entry_target, route, workspace
from gevent.event import Event
from path_helper import caller_server, connect, read_all, status_of
from stack_helper import Stack, running, signed

WAIT_S = 5.0


def request(request_id, path, method="GET", close=False):
    connection = "Connection: close\r\n" if close else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: {request_id}\r\n"
        f"Authorization: Bearer {KEY}\r\n{connection}\r\n"
    ).encode()


class HeldTarget:
    """Holds back the requests with the ids that it is given."""

    def __init__(self, *held):
        self.arrived = []
        self.ended = []
        self.events = {request_id: Event() for request_id in held}

    def __call__(self, req):
        request_id = req.headers.get("X-Id")
        self.arrived.append(request_id)
        if request_id in self.events:
            self.events[request_id].wait()
        self.ended.append(request_id)
        return signed(req, body=request_id.encode())

    def wait_arrived(self, count):
        with gevent.Timeout(WAIT_S):
            while len(self.arrived) < count:
                gevent.sleep(0.002)


def stack_config(**fields):
    return config(
        routes=(
            route(name="read", prefix="/read/", idempotent=True),
            route(name="write", prefix="/write/"),
        ),
        **fields,
    )


@contextmanager
def running_pipeline(target, cfg=None):
    """Run a stack with one target, whose server lets requests overlap."""
    stack = Stack(cfg or stack_config())
    stack.server.may_overlap = stack.pipeline.may_overlap
    with running(stack), caller_server(target) as server:
        stack.add_target(entry_target("t1", f"127.0.0.1:{server.port}"))
        yield stack


def responses(raw):
    """Return status and body of each response in `raw`."""
    parts = raw.split(b"HTTP/1.1 ")[1:]
    return [
        (status_of(b"HTTP/1.1 " + part), part.split(b"\r\n\r\n", 1)[1])
        for part in parts
    ]


# Guards against a short request that waits for a long one in front of it.
def test_idempotent_request_reaches_its_target_while_an_earlier_one_runs():
    target = HeldTarget("slow")
    with running_pipeline(target) as stack, connect(stack.server.port) as sock:
        sock.sendall(request("slow", "/read/x") + request("a", "/read/y", close=True))
        target.wait_arrived(2)
        target.events["slow"].set()
        assert responses(read_all(sock)) == [(200, b"slow"), (200, b"a")]


def test_request_that_may_run_once_reaches_its_target_only_in_its_turn():
    target = HeldTarget("slow")
    with running_pipeline(target) as stack, connect(stack.server.port) as sock:
        sock.sendall(request("slow", "/read/x") + request("once", "/write/y"))
        sock.sendall(request("a", "/read/z", close=True))
        target.wait_arrived(1)
        gevent.sleep(0.1)
        assert target.arrived == ["slow"]
        target.events["slow"].set()
        found = responses(read_all(sock))
    assert found == [(200, b"slow"), (200, b"once"), (200, b"a")]


def test_refusal_by_the_quota_keeps_its_place_in_the_order():
    limited = stack_config(workspaces=(workspace(rate=0.001, burst=0.0),))
    target = HeldTarget("id-0")
    with running_pipeline(target, limited) as stack, connect(stack.server.port) as sock:
        count = 40
        for number in range(count):
            sock.sendall(request(f"id-{number}", "/read/x", close=number == count - 1))
        target.wait_arrived(1)
        gevent.sleep(0.1)
        target.events["id-0"].set()
        found = responses(read_all(sock))
    statuses = [status for status, _ in found]
    assert len(found) == count
    assert statuses == [200] * len(target.arrived) + [429] * (
        count - len(target.arrived)
    )


# Guards against targets that work on for a caller that has left. The connection of the
# caller and the wait for the target both notice it; which is first depends on timing.
def test_caller_that_leaves_cancels_its_requests_at_targets():
    target = HeldTarget("a", "b", "c")
    with running_pipeline(target) as stack:
        with connect(stack.server.port) as sock:
            for name in "abc":
                sock.sendall(request(name, "/read/x"))
            target.wait_arrived(3)
        with gevent.Timeout(WAIT_S):
            while stack.pipeline.running:
                gevent.sleep(0.002)
        attempts = [line for line in stack.vm.log.lines if line[0] == "attempt"]
        ends = {which: why for _, which, why, _ in attempts}
        assert ends.keys() == {"a", "b", "c"}
        assert set(ends.values()) <= {"cancelled", "unanswered-caller-gone"}
        assert stack.client.connections(stack.table.get("t1").target) == 0
        assert all(fields["target"] == "t1" for *_, fields in attempts)
        for event in target.events.values():
            event.set()
