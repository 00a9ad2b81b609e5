"""Tests of responses that seem to say that a request has not run, while it may have."""

from contextlib import contextmanager

import gevent
import pytest
from entry_helper import config, entry_target, route
from fleet_helper import call_through, lose, running_fleet
from path_helper import raw_target, read_head
from stack_helper import Stack, raw_head, running, signed

PROMISES = (408, 421, 429, 503)  # callers take these for "has not run"
WORK_S = 0.05
OWN, OTHER = "X-Id: id-1", "X-Id: id-0"
MARK, SIGNED = "X-Not-Run: 1", "X-Signature: s"


class RawTarget:
    """A target that runs each request, and sends raw bytes in place of its response.

    Attributes
    ----------
    ran : int
        Number of requests that it has begun to run.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.ran = 0

    def serve(self, sock):
        while read_head(sock):
            self.ran += 1
            gevent.sleep(WORK_S)
            index = min(self.ran, len(self.responses)) - 1
            sock.sendall(self.responses[index])


@contextmanager
def raw_stack(*responses, idempotent=False):
    """Run a stack in front of one target that sends `responses` in turn."""
    raw = RawTarget(*responses)
    cfg = config(routes=(route(idempotent=idempotent),))
    with running(Stack(cfg)) as stack, raw_target(raw.serve) as target:
        stack.add_target(entry_target("t0", target.address))
        yield stack, raw


def refusals(stack):
    return [line for line in stack.vm.log.lines if line[0] == "refuse"]


# Guards against "not run" for a request that runs, on the word of a response that does
# not name it, names several, or lacks the statement.
@pytest.mark.parametrize(
    "fields",
    [
        (503, MARK),
        (503, MARK, SIGNED),
        (503, MARK, OWN, OTHER),
        (503, MARK, OTHER, OWN),
        (503, MARK, "X-Id: id-1, id-0"),
        (421,),
        (421, OWN),
        (421, OWN, SIGNED),
        (421, "X-Target: t0"),
        (421, "X-Target: other", OTHER, OWN),
        (429, OWN, "X-Not-Run:"),
        (200, MARK),
    ],
    ids=str,
)
def test_response_without_proof_does_not_say_that_the_request_has_not_run(fields):
    with raw_stack(raw_head(*fields)) as (stack, raw):
        status, headers, _ = stack.call(X_Deadline_Ms="600")
        assert raw.ran == 1
        assert status in (502, 504)
        assert headers["lacewingpond-run"] == "unknown"


# Guards against a status of a target that has run the request, and that promises its
# caller that it has not.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("idempotent", [False, True])
def test_status_that_denies_the_run_is_not_passed_on_without_proof(status, idempotent):
    response = raw_head(status, OWN, SIGNED, length=2) + b"no"
    with raw_stack(response, idempotent=idempotent) as (stack, raw):
        answered, headers, body = stack.call()
        assert raw.ran == 1
        assert answered == 502
        assert headers["lacewingpond-run"] == "unknown"
        assert "x-signature" not in headers
        assert body != b"no"


@pytest.mark.parametrize("status", [400, 409, 500, 504])
def test_other_statuses_of_a_target_are_passed_on(status):
    with raw_stack(raw_head(status, OWN, SIGNED, length=2) + b"no") as (stack, _):
        answered, headers, body = stack.call()
        assert (answered, headers["x-signature"], body) == (status, "s", b"no")


@pytest.mark.parametrize(
    "fields",
    [(503, MARK, OWN), (429, MARK, OWN), (421, MARK, OWN), (421, "X-Target: other")],
    ids=str,
)
def test_proof_that_the_request_has_not_run_is_passed_on(fields):
    with raw_stack(raw_head(*fields)) as (stack, _):
        status, headers, _ = stack.call()
        assert status == 503
        assert headers["lacewingpond-run"] == "not-run"


# Guards against an operator who can't tell a refusal of this VM from one that rests on
# a response, or which response that was.
def test_refusal_names_the_response_on_which_it_rests():
    with raw_stack(raw_head(200, OWN, SIGNED), raw_head(503, MARK)) as (stack, _):
        assert stack.call()[0] == 200
        assert stack.call(X_Id="id-2")[0] == 502
        assert stack.call(path="/none")[0] == 404
    first, second = refusals(stack)
    evidence = {"target": "t0", "conn": "kept", "answer": 503, "answer_ids": []}
    assert evidence.items() <= first[3].items()
    assert "target" not in second[3]


# Guards against the same over a hop, where two VMs read the response in turn.
@pytest.mark.parametrize("status", PROMISES)
def test_status_that_denies_the_run_is_not_passed_on_over_a_hop(status):
    ran = []

    def respond(req):
        ran.append(req.headers.get("X-Id"))
        return signed(req, status)

    with running_fleet(respond, size=2, targets=1) as vms:
        lose(vms[0])
        answered, headers, _ = vms[0].call("id-1")
    assert ran == ["id-1"]
    assert answered == 502
    assert headers["lacewingpond-run"] == "unknown"


# Guards against a refusal of a carrier that belongs to another request.
def test_refusal_of_a_carrier_without_the_id_does_not_say_not_run():
    def refuse(sock):
        read_head(sock)
        sock.sendall(raw_head(503, "Lacewingpond-Relay: not-run;over-rate"))

    status, headers = call_through(refuse)
    assert status == 502
    assert headers["lacewingpond-run"] == "unknown"
