"""Tests of the request path: requests run at most once, and refusals are correct."""

from contextlib import ExitStack
from types import SimpleNamespace

import pytest
from entry_helper import config, entry_target, route, workspace
from msgspec import structs
from path_helper import caller_server, raw_target, read_head
from stack_helper import Stack, not_run, running, signed

from lacewingpond.entry.model.route import WeightedService
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.targets.health import HealthStatus
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.util.clock import RuntimeClock

TEXT = Headers((("Content-Type", "text/plain"),))


class Target:
    """A target that records its requests and calls `respond` for their responses."""

    def __init__(self, respond):
        self.respond = respond
        self.seen = []

    def handle(self, req):
        body = b"".join(req.body)
        self.seen.append((req, body))
        return self.respond(req)


@pytest.fixture
def serve():
    """Return a function that starts a stack with one target per `respond`."""
    with ExitStack() as exits:

        def start(*responders, cfg=None, **options):
            stack = exits.enter_context(running(Stack(cfg or config(), **options)))
            targets = [Target(respond) for respond in responders]
            for number, target in enumerate(targets):
                server = exits.enter_context(caller_server(target.handle))
                address = f"127.0.0.1:{server.port}"
                stack.add_target(entry_target(f"t{number}", address))
            return stack, targets

        yield start


def idempotent(**fields):
    return config(routes=(route(idempotent=True, **fields),))


def breaks_off(req):
    raise ConnectionError("the target crashes")


def run_count(targets):
    return sum(len(target.seen) for target in targets)


def cut_body(req):
    def body():
        yield b"half"
        raise ConnectionError("the target crashes")

    headers = Headers((("X-Id", req.headers.get("X-Id")), ("X-Signature", "s")))
    headers.add("Content-Length", "100")
    return Response(200, headers, body())


def test_response_is_passed_on_unchanged(serve):
    stack, targets = serve(lambda req: signed(req, 201, b"whole"))
    status, headers, body = stack.call(body=b"data")
    assert (status, body, headers["x-signature"]) == (201, b"whole", "s")
    assert headers["x-id"] == "id-1"
    assert targets[0].seen[0][1] == b"data"


def test_target_receives_workspace_and_deadline_but_no_key(serve):
    stack, targets = serve(signed)
    stack.call(X_Workspace="forged", X_Deadline_Ms="2000", X_Expected="forged")
    req = targets[0].seen[0][0]
    assert req.headers.get_all("X-Workspace") == ["acme"]
    assert req.headers.get_all("X-Expected") == ["t0"]
    assert 0 < int(req.headers.get("X-Deadline-Ms")) <= 2000
    assert "Authorization" not in req.headers


def test_non_idempotent_request_is_not_retried_after_a_broken_connection(serve):
    stack, targets = serve(cut_body, cut_body)
    status, headers, _ = stack.call()
    assert (status, run_count(targets)) == (502, 1)
    assert "retry-after" not in headers


def test_idempotent_request_is_retried_on_another_target(serve):
    stack, targets = serve(cut_body, signed, cfg=idempotent())
    statuses = [stack.call("GET")[0] for _ in range(4)]
    assert statuses == [200] * 4


def test_request_that_was_not_run_is_retried_on_another_target(serve):
    stack, targets = serve(not_run, signed)
    assert [stack.call()[0] for _ in range(4)] == [200] * 4
    assert len(targets[1].seen) == 4


def test_refusal_says_not_run_when_all_targets_refused(serve):
    stack, targets = serve(not_run, not_run)
    status, headers, body = stack.call()
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert b"not-run" in body
    assert run_count(targets) == 2


def test_request_reaches_at_most_max_attempts_targets(serve):
    cfg = idempotent(max_attempts=2)
    stack, targets = serve(cut_body, cut_body, cut_body, cfg=cfg)
    assert stack.call("GET")[0] == 502
    assert run_count(targets) == 2


def test_empty_retry_budget_prevents_a_retry(serve):
    stack, targets = serve(cut_body, cut_body, cfg=idempotent(), reserve=0.0)
    assert stack.call("GET")[0] == 502
    assert run_count(targets) == 1


def test_error_response_is_passed_on_when_the_request_is_not_idempotent(serve):
    stack, targets = serve(lambda req: signed(req, 500, b"why"))
    status, headers, body = stack.call()
    assert (status, body, headers["x-signature"]) == (500, b"why", "s")


# An attempt whose response has arrived must not count twice towards max_attempts.
def test_error_response_of_an_idempotent_request_is_retried(serve):
    failing, sound = lambda req: signed(req, 500, b"why"), signed
    stack, targets = serve(failing, sound, cfg=idempotent(max_attempts=2))
    assert [stack.call("GET")[0] for _ in range(6)] == [200] * 6
    assert targets[0].seen


def test_error_response_is_passed_on_when_the_retry_budget_is_empty(serve):
    failing = [lambda req: signed(req, 500, b"why")] * 2
    stack, targets = serve(*failing, cfg=idempotent(), reserve=0.0)
    assert stack.call("GET")[0] == 500


@pytest.mark.parametrize(
    "respond",
    [
        lambda req: Response(200, TEXT.copy(), b"not a target's"),
        lambda req: signed(req, X_Id="another"),
        lambda req: signed(req, Content_Encoding="gzip"),
        cut_body,
    ],
    ids=["unsigned", "another-id", "encoded", "cut"],
)
def test_invalid_response_is_never_passed_on_as_complete(serve, respond):
    stack, targets = serve(respond)
    status, headers, body = stack.call(X_Deadline_Ms="800")
    assert status in (502, 504)
    assert "x-signature" not in headers
    assert run_count(targets) == 1


def test_response_to_an_earlier_request_is_skipped():
    def respond_after_stray(sock):
        read_head(sock)
        for request_id, body in (("id-0", b"stray"), ("id-1", b"right")):
            head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nX-Signature: s\r\n"
            length = f"Content-Length: {len(body)}\r\n\r\n"
            sock.sendall((head + length).encode() + body)

    with running(Stack(config())) as stack, raw_target(respond_after_stray) as target:
        stack.add_target(entry_target("t0", target.address))
        assert stack.call()[::2] == (200, b"right")


def test_bytes_after_a_response_are_not_taken_for_the_next_response():
    def respond_twice(sock):
        while read_head(sock):
            head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n"
            response = (head + "Content-Length: 2\r\n\r\nok").encode()
            sock.sendall(response + response)

    with running(Stack(config())) as stack, raw_target(respond_twice) as target:
        stack.add_target(entry_target("t0", target.address))
        assert [stack.call()[::2] for _ in range(3)] == [(200, b"ok")] * 3


def test_misdirected_request_is_retried_on_another_target(serve):
    misdirected = lambda req: Response(421, Headers((("X-Target", "other"),)))  # noqa: E731
    stack, targets = serve(misdirected, signed)
    assert [stack.call()[0] for _ in range(3)] == [200] * 3


def test_request_is_retried_after_a_refused_connection(serve):
    stack, targets = serve(signed)
    stack.add_target(entry_target("dead", "127.0.0.1:1"))
    assert [stack.call()[0] for _ in range(6)] == [200] * 6


def test_target_with_a_broken_connection_is_ejected(serve):
    stack, targets = serve(cut_body, signed)
    while not targets[0].seen:
        stack.call()
    state = stack.table.get("t0")
    assert state.health.status(RuntimeClock().now()) is HealthStatus.EJECTED


def test_draining_target_gets_no_requests(serve):
    stack, targets = serve(signed, signed)
    address = stack.table.get("t0").spec.address
    stack.add_target(entry_target("t0", address, draining=True))
    assert [stack.call()[0] for _ in range(5)] == [200] * 5
    assert not targets[0].seen


def test_route_timeout_gets_504(serve):
    def slow(req):
        RuntimeClock().sleep(5.0)
        return signed(req)

    stack, targets = serve(slow, cfg=config(routes=(route(timeout_s=0.3),)))
    status, _, body = stack.call()
    assert status == 504
    assert b"unknown" in body


def test_deadline_is_the_callers_limited_by_the_route_timeout(serve):
    stack, _ = serve()
    fields = Headers((("X-Deadline-Ms", "2000"),))
    req = SimpleNamespace(headers=fields, received_at=100.0)
    assert stack.pipeline._deadline(req, route()).unwrap() == 102.0
    assert stack.pipeline._deadline(req, route(timeout_s=1.5)).unwrap() == 101.5


def test_request_without_a_target_is_refused_with_retry_time(serve):
    stack, _ = serve()
    status, headers, _ = stack.call()
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_request_without_a_configuration_gets_503_instead_of_401(serve):
    with running(Stack(None)) as stack:
        assert stack.call()[0] == 503


def test_unknown_key_gets_401_and_unknown_route_404(serve):
    stack, targets = serve(signed)
    assert stack.call(Authorization="Bearer nobody")[0] == 401
    assert stack.call(Authorization=None)[0] == 401
    assert stack.call(path="/b/x")[0] == 404
    assert run_count(targets) == 0


def test_stale_proof_refuses_only_requests_that_need_a_key(serve):
    routes = (route(), route(name="open", prefix="/open/", public=True))
    stack, targets = serve(signed, cfg=config(routes=routes))
    stack.vm.freshness._proved_at = float("-inf")
    status, headers, _ = stack.call()
    assert (status, "retry-after" in headers) == (503, True)
    assert stack.call(path="/open/x")[0] == 200
    assert run_count(targets) == 1


def test_request_on_a_vm_that_was_paused_waits_for_a_proof(serve):
    stack, targets = serve(signed)
    freshness = stack.vm.freshness
    freshness._proved_at = float("-inf")
    freshness.on_proof_needed(
        lambda: freshness.record_proof(RuntimeClock().boot(), "peer")
    )
    assert stack.call()[0] == 200
    assert run_count(targets) == 1


def test_request_is_refused_when_its_key_is_withdrawn_before_sending(serve):
    stack, targets = serve(signed)
    stack.vm.freshness.record_proof(RuntimeClock().boot(), "test")
    # The rate check is the last step before the body is read.
    stack.pipeline._limiter = WithdrawingLimiter(stack.vm.view)
    assert stack.call(body=b"data")[0] == 503
    assert run_count(targets) == 0


class WithdrawingLimiter:
    """Admits a request and withdraws its key at the same time."""

    def __init__(self, view):
        self.view = view

    def admit(self, _):
        holder = workspace(keys=("other",))
        self.view.config = config(version=2, workspaces=(holder,))
        return Admission(True)


@pytest.mark.parametrize(
    "fields",
    [{"X_Id": None}, {"X_Deadline_Ms": "soon"}, {"X_Deadline_Ms": "-5"}],
)
def test_invalid_headers_are_refused(serve, fields):
    stack, targets = serve(signed)
    assert stack.call(**fields)[0] == 400
    assert run_count(targets) == 0


def test_split_follows_its_weights(serve):
    split = (WeightedService("svc", 3.0), WeightedService("none", 1.0))
    stack, targets = serve(signed, cfg=config(routes=(route(split=split),)))
    statuses = [stack.call()[0] for _ in range(80)]
    assert 50 <= statuses.count(200) <= 70
    assert statuses.count(503) == 80 - statuses.count(200)


def test_request_is_quarantined_after_three_crashes(serve):
    stack, targets = serve(*[cut_body] * 5, cfg=idempotent(), reserve=50.0)
    statuses = [stack.call("GET", X_Id=f"id-{n}")[0] for n in range(6)]
    assert run_count(targets) == 3
    assert statuses == [502, 502, 503, 503, 503, 503]


def test_other_requests_run_while_one_is_quarantined(serve):
    stack, targets = serve(cut_body, cfg=idempotent(max_attempts=1))
    for _ in range(4):
        stack.call("GET")
    targets[0].respond = signed
    assert stack.call("GET", path="/a/other")[0] == 200


LONG_BLOCK = b"0123456789abcdef" * 65536


def test_long_response_is_passed_on_whole(serve):
    stack, targets = serve(lambda req: signed(req, body=iter([LONG_BLOCK] * 2)))
    status, _, body = stack.call()
    assert status == 200
    assert decode_chunked(body) == LONG_BLOCK * 2


def test_long_response_that_is_cut_is_never_ended_as_complete(serve):
    def cut(req):
        def body():
            yield LONG_BLOCK
            raise ConnectionError("the target crashes")

        return signed(req, body=body())

    stack, targets = serve(cut)
    _, headers, body = stack.call()
    assert headers["transfer-encoding"] == "chunked"
    assert not body.endswith(b"0\r\n\r\n")


def encode_chunked(*blocks):
    return b"".join(b"%x\r\n%b\r\n" % (len(b), b) for b in blocks) + b"0\r\n\r\n"


def decode_chunked(raw):
    blocks = []
    while raw:
        size, _, rest = raw.partition(b"\r\n")
        blocks.append(rest[: int(size, 16)])
        raw = rest[int(size, 16) + 2 :]
    return b"".join(blocks)


def test_short_chunked_body_can_be_resent(serve):
    stack, targets = serve(not_run, signed)
    body = encode_chunked(b"da", b"ta")
    fields = {"Content_Length": None, "Transfer_Encoding": "chunked"}
    assert [stack.call(body=body, **fields)[0] for _ in range(4)] == [200] * 4
    assert {seen for target in targets for _, seen in target.seen} == {b"data"}


def test_long_chunked_body_is_streamed_unchanged(serve):
    stack, targets = serve(signed)
    fields = {"Content_Length": None, "Transfer_Encoding": "chunked"}
    status, _, _ = stack.call(
        body=encode_chunked(LONG_BLOCK, LONG_BLOCK, b"end"), **fields
    )
    assert status == 200
    assert targets[0].seen[0][1] == LONG_BLOCK + LONG_BLOCK + b"end"


def test_body_above_the_limit_is_refused(serve):
    cfg = config()
    cfg = structs.replace(cfg, limits=structs.replace(cfg.limits, body_bytes=10))
    stack, targets = serve(signed, cfg=cfg)
    assert stack.call(body=b"x" * 11)[0] == 413
    fields = {"Content_Length": None, "Transfer_Encoding": "chunked"}
    assert stack.call(body=encode_chunked(b"x" * 11), **fields)[0] == 413
    assert run_count(targets) == 0


def test_attempt_is_logged_with_a_new_or_kept_connection(serve):
    stack, _ = serve(signed)
    for request_id in ("id-1", "id-2"):
        assert stack.call(X_Id=request_id)[0] == 200
    attempts = [line[3] for line in stack.vm.log.lines if line[0] == "attempt"]
    assert [fields["conn"] for fields in attempts] == ["new", "kept"]


# Without the time left, the log does not show that an attempt was given up early.
def test_attempt_is_logged_with_the_time_that_its_request_has_left(serve):
    stack, _ = serve(signed, cfg=config(routes=(route(timeout_s=5.0),)))
    assert stack.call()[0] == 200
    (attempt,) = [line[3] for line in stack.vm.log.lines if line[0] == "attempt"]
    assert 4000 < attempt["left_ms"] <= 5000


# Tells a VM that can't reach its targets from one that overlooks open connections.
def test_failed_connection_is_logged_with_the_connections_that_are_open(serve):
    stack, _ = serve(signed, signed)
    assert stack.call()[0] == 200
    stack.add_target(entry_target("t0", "127.0.0.1:1"))
    stack.add_target(entry_target("t1", "127.0.0.1:1"))
    assert stack.call()[0] == 503
    lines = [line for line in stack.vm.log.lines if line[0] == "unreached"]
    assert lines
    assert all("refused" in why.lower() and f["idle"] == 0 for _, _, why, f in lines)
