"""Tests that violations of guarantees are reported, with servers that cause them."""

import pytest
from gevent.pywsgi import WSGIServer

from lacewingpond.load.plan import LoadPlan, RequestKind, WorkspaceLoad
from lacewingpond.load.runner import LoadRunner
from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.standin.target import StandinTarget
from lacewingpond.util.clock import RuntimeClock

POST = RequestKind(
    "/pay", "POST", body_bytes=200, idempotency_key=True, repeat_share=1.0
)


@pytest.fixture
def target():
    target = StandinTarget.from_options(
        StandinTargetOptions(work_s=0.0), RuntimeClock()
    )
    target.start()
    yield target
    target.stop()


def run_load(daemon, target, request_kind, key=""):
    workspace = WorkspaceLoad("w", key, 40.0, (request_kind,))
    plan = LoadPlan((daemon,), (workspace,), (target.address,), duration_s=0.5)
    return LoadRunner(plan, RuntimeClock(), lambda line: None).run()


def start_server(respond):
    """Return a started server that returns `respond(environ, body)`."""

    def app(environ, start_response):
        body = environ["wsgi.input"].read()
        status, headers, data = respond(environ, body)
        start_response(status, headers)
        return [data]

    server = WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    return server


def test_correct_target_gives_no_violations(target):
    report = run_load(target.address, target, RequestKind("/x"))
    assert report.broken == ()
    assert report.workspaces[0].answered == report.workspaces[0].sent > 0


def test_held_sessions_send_one_request_per_second(target):
    workspace = WorkspaceLoad("w", "", 0.0, (RequestKind("/x"),), held_sessions=3)
    plan = LoadPlan((target.address,), (workspace,), duration_s=2.0)
    report = LoadRunner(plan, RuntimeClock(), lambda line: None).run()
    assert report.workspaces[0].answered == 6


def test_second_run_with_one_key_is_reported(target):
    assert "ran 2 times" in run_load(target.address, target, POST).broken[0]


def test_key_that_reaches_a_target_is_named(target):
    report = run_load(target.address, target, RequestKind("/x"), key="secret")
    assert "callers' keys" in report.broken[-1]


@pytest.mark.parametrize(
    ("respond", "violation"),
    [
        (lambda env, body: ("200 OK", [], body[:-1]), "incomplete body"),
        (lambda env, body: ("200 OK", [], body), "never ran"),
    ],
)
def test_wrong_answers_are_named(target, respond, violation):
    server = start_server(respond)
    report = run_load(f"127.0.0.1:{server.server_port}", target, POST)
    server.stop()
    assert violation in report.broken[0]


def test_refusal_as_not_run_is_reported_if_it_ran(target):
    def refuse_after_running(environ, body):
        import urllib3

        request_id = environ["HTTP_X_REQUEST_ID"]
        url = f"http://{target.address}/pay"
        urllib3.request("POST", url, body=body, headers={"X-Request-Id": request_id})
        return "503 Sorry", [("Lacewingpond-Run", "not-run")], b""

    server = start_server(refuse_after_running)
    request_kind = RequestKind("/pay", "POST", body_bytes=10)
    report = run_load(f"127.0.0.1:{server.server_port}", target, request_kind)
    server.stop()
    assert "refused as not run, but ran" in report.broken[0]
