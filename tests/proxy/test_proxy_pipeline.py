"""Tests of the request path, with real targets on loopback."""

import hashlib
import random
from types import SimpleNamespace as Stub

import gevent
import msgspec
import pytest
import urllib3
from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from path_helper import raw_target, read_head, reset

from lacewingpond.config.model import Config, Key, Route, Service, Target, Workspace
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.server import CallerServer
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.service import IdempotencyService
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import VERDICT_CACHE_S, Placer
from lacewingpond.proxy.dispatcher import Dispatcher
from lacewingpond.proxy.keyed_runner import KeyedRunner
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.pipeline import Pipeline
from lacewingpond.quarantine.options import QuarantineOptions
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.fair_queue import FairQueue
from lacewingpond.queues.options import QueueOptions
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.routing.routes import RouteTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.standin.target import StandinTarget
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

KEY = "publisher-key"
RUN = "Lacewingpond-Run"
UPLOAD_BYTES = 8_000_000


class SingleVmFleet:
    """A fleet of one VM."""

    def live(self):
        return ()


class FakeAvailability:
    """An `Availability` that tests control."""

    is_ready = True
    is_isolated = False


class ProxyVm:
    """One VM's request path, with stand-in targets behind it."""

    def __init__(self):
        self.clock = RuntimeClock()
        self.log = RecordingDecisionLog()
        self.availability = FakeAvailability()
        self.targets = []
        self.pipeline = self._pipeline()
        self.server = CallerServer.from_options(
            HttpOptions(), self.pipeline.handle, self.log, self.clock
        )
        self.server.start()
        self.http = urllib3.PoolManager(retries=False)

    def _pipeline(self):
        rng, metrics = random.Random(1), CountingMetrics()
        telemetry = (self.log, metrics)
        channel = MemoryNetwork(self.clock, rng).channel("vm-1")
        shards = FakeShardTable(8, ("vm-1",), self.clock).view("vm-1")
        common = ComponentContext("vm-1", self.clock, rng, channel, shards, *telemetry)
        self.limiter = FleetLimiter.from_options(LimitOptions(), common)
        self.health = HealthReporter.from_options(HealthOptions(), common)
        for shard in range(shards.shard_count):
            self.limiter.acquire(shards.active_ownership(shard), None)
            self.health.acquire(shards.active_ownership(shard), None)
        self.placer = Placer.from_options(
            PlacementOptions(), "vm-1", "a", self.clock, rng, self.health, *telemetry
        )
        self.queue = FairQueue.from_options(QueueOptions(), self.clock, *telemetry)
        client = TargetClient.from_options(
            TargetOptions(abandoned_body_s=0.5), self.clock, rng, self.log
        )
        self.silent_targets = []
        client.on_silent_connections = lambda target_id, count: (
            self.silent_targets.append(target_id)
        )
        self.quarantine = QuarantineService.from_options(
            QuarantineOptions(), common, SingleVmFleet()
        )
        for shard in range(shards.shard_count):
            self.quarantine.acquire(shards.active_ownership(shard), None)
        self.retries = RetryBudget.from_options(RetryOptions(share=1.0))
        dispatcher = Dispatcher(
            ProxyOptions(),
            self.queue,
            self.placer,
            client,
            self.health,
            self.retries,
            self.quarantine,
            self.clock,
            self.log,
        )
        options = ProxyOptions()
        runner = self.runner = KeyedRunner(dispatcher, self.clock, self.log)
        self.keyed = IdempotencyService.from_options(
            IdempotencyOptions(), common, runner
        )
        for shard in range(shards.shard_count):
            self.keyed.acquire(shards.active_ownership(shard), None)
        parts = (self.limiter, dispatcher, self.keyed, runner, self.availability)
        return Pipeline(options, *parts, self.clock, *telemetry)

    def start(self, *targets, rate=1000.0, **route):
        for options in targets:
            options = StandinTargetOptions(**{"work_s": 0.0, **options})
            self.targets.append(StandinTarget.from_options(options, self.clock))
            self.targets[-1].start()
        self.configure(self.target_list(), rate, **route)

    def target_list(self):
        return tuple(Target(f"t{i}", t.address) for i, t in enumerate(self.targets))

    def withdraw_key(self):
        self.configure(self.target_list(), with_key=False)

    def configure(self, targets, rate=1000.0, **route):
        cfg = self.config(targets, rate, **route)
        configurable = (
            self.limiter,
            self.health,
            self.placer,
            self.queue,
            self.pipeline,
        )
        for part in configurable:
            part.configure(cfg)

    def config(self, targets, rate=1000.0, with_key=True, **route):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        return Config(
            1,
            (Workspace("sita", rate, rate),),
            (Key("k1", "sita", digest),) if with_key else (),
            (
                Service(
                    "ledger",
                    targets,
                    not_run_marker="X-Not-Run: 1",
                    draining_marker="X-Draining: 1",
                ),
            ),
            (
                Route("pay", "ledger", "/pay", **route),
                Route("open", "ledger", "/open", open=True),
            ),
        )

    def send(self, method="GET", path="/pay", key=KEY, body=None, timeout=5, **headers):
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{self.server.port}{path}"
        return self.http.request(
            method, url, headers=headers, body=body, timeout=timeout
        )

    def run_count(self):
        return sum(target.stats.run for target in self.targets)

    def stop(self):
        self.server.stop()
        for target in self.targets:
            target.stop()


@pytest.fixture
def proxy():
    proxy = ProxyVm()
    yield proxy
    proxy.stop()


def reason(response):
    return msgspec.json.decode(response.data)["reason"]


def test_target_receives_the_request_without_the_key(proxy):
    proxy.start({})
    response = proxy.send("POST", body=b"commission 7")
    assert (response.status, response.data) == (200, b"commission 7")
    assert proxy.targets[0].stats.keys_seen == 0
    assert not any(KEY in str(line) for line in proxy.log.lines)


@pytest.mark.parametrize(
    ("params", "status", "why"),
    [
        ({"path": "/none"}, 404, "no-route"),
        ({"key": ""}, 401, "no-key"),
        ({"key": "other"}, 401, "bad-key"),
        ({"Lacewingpond-Deadline-Ms": "soon"}, 400, "bad-deadline"),
    ],
)
def test_request_refused_before_sending_is_not_run(proxy, params, status, why):
    proxy.start({})
    response = proxy.send(**params)
    assert (response.status, reason(response)) == (status, why)
    assert response.headers[RUN] == "not-run"
    assert proxy.run_count() == 0


def test_workspace_that_may_not_use_the_route_is_refused(proxy):
    proxy.start({}, workspaces=("other",))
    assert reason(proxy.send()) == "wrong-workspace"


def test_route_can_require_an_idempotency_key(proxy):
    proxy.start({}, require_idempotency_key=True)
    assert proxy.send("POST").status == 400
    assert proxy.send("GET").status == 200


def test_isolated_vm_refuses_only_routes_with_keys(proxy):
    proxy.start({})
    proxy.availability.is_isolated = True
    assert reason(proxy.send()) == "isolated"
    assert proxy.send(path="/open", key="").status == 200


def test_request_over_the_rate_is_refused_with_retry_after(proxy):
    proxy.start({}, rate=2.0)
    responses = [proxy.send() for _ in range(6)]
    refused = [response for response in responses if response.status == 429]
    assert refused
    assert all(int(response.headers["Retry-After"]) >= 0 for response in refused)
    assert proxy.run_count() == len(responses) - len(refused)


def test_failed_idempotent_request_is_retried_on_another_target(proxy):
    proxy.start({"gray_share": 1.0}, {})
    assert {proxy.send().status for _ in range(20)} == {200}


def test_failed_non_idempotent_request_is_not_retried(proxy):
    proxy.start({"gray_share": 1.0}, {"gray_share": 1.0})
    assert proxy.send("POST").status == 500
    assert proxy.run_count() == 1


def test_crash_during_non_idempotent_request_reports_run_unknown(proxy):
    proxy.start({}, {})
    response = proxy.send("POST", **{"X-Crash": "1"})
    assert (response.status, response.headers[RUN]) == (502, "unknown")
    assert proxy.run_count() == 1


def test_request_that_crashes_targets_is_quarantined_as_not_run(proxy):
    proxy.start({"restart_s": 0.05}, {"restart_s": 0.05}, {})
    first = proxy.send("GET", path="/pay/poison", **{"X-Crash": "1"})
    assert (first.status, first.headers[RUN]) == (502, "unknown")
    assert sum(target.stats.crashes for target in proxy.targets) == 2
    again = proxy.send("GET", path="/pay/poison", **{"X-Crash": "1"})
    assert (reason(again), again.headers[RUN]) == ("quarantined", "not-run")
    assert sum(target.stats.crashes for target in proxy.targets) == 2
    assert proxy.send("GET", path="/pay/other").status == 200


def test_shed_request_is_retried_on_another_target(proxy):
    proxy.start({"draining": True}, {})
    assert {proxy.send("POST").status for _ in range(10)} == {200}
    proxy.targets[1].configure(StandinTargetOptions(draining=True))
    response = proxy.send("POST")
    assert (response.status, response.headers[RUN]) == (503, "not-run")


def test_draining_target_receives_no_further_requests(proxy):
    proxy.start({"draining": True}, {})
    stats = proxy.targets[0].stats
    while stats.arrived == 0:
        assert proxy.send("POST").status == 200
    gevent.sleep(2 * VERDICT_CACHE_S)
    arrived = stats.arrived
    assert {proxy.send("POST").status for _ in range(30)} == {200}
    assert stats.arrived == arrived


def test_unfinished_not_run_response_reports_run_unknown(proxy):
    def hang(environ, start_response):
        headers = [("X-Not-Run", "1"), ("Content-Length", "10")]
        write = start_response("503 Service Unavailable", headers)
        write(b"x")
        gevent.sleep(5.0)
        return [b"x" * 9]

    server = WSGIServer(("127.0.0.1", 0), hang, log=None, error_log=None)
    server.start()
    target = Target("t0", f"127.0.0.1:{server.server_port}")
    proxy.start()
    proxy.configure((target,))
    response = proxy.send("POST", **{"Lacewingpond-Deadline-Ms": "200"})
    server.stop(timeout=0)
    assert (response.status, response.headers[RUN]) == (502, "unknown")


def test_silent_connection_is_reported_and_its_target_stays_in_use(proxy):
    proxy.start({})
    assert proxy.send().status == 200
    proxy.targets[0].silence_connections()
    late = proxy.send("GET", **{"Lacewingpond-Deadline-Ms": "150"})
    assert (late.status, late.headers[RUN]) == (504, "unknown")
    assert proxy.send().status == 200
    assert proxy.silent_targets == ["t0"]


def works_as_asked(environ, start_response):
    gevent.sleep(float(environ["HTTP_X_WORK"]))
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


# Of three requests to one target, one runs for long, one reaches its own short timeout,
# and one on a newer connection gets its response: the long one is taken for one on a
# silent connection, and ended before anything has replaced it.
def test_long_request_is_not_given_up_after_the_timeout_of_another(proxy):
    server = WSGIServer(("127.0.0.1", 0), works_as_asked, log=None, error_log=None)
    server.start()
    proxy.start()
    proxy.configure((Target("t0", f"127.0.0.1:{server.server_port}"),))
    long = gevent.spawn(proxy.send, **{"X-Work": "2.5"})
    gevent.sleep(0.05)
    fields = {"X-Work": "9", "Lacewingpond-Deadline-Ms": "500"}
    late = gevent.spawn(proxy.send, **fields)
    gevent.sleep(0.1)
    assert proxy.send(**{"X-Work": "0"}).status == 200
    assert late.get().status == 504
    response = long.get()
    server.stop(timeout=0)
    assert response.status == 200


def test_dead_target_is_avoided_and_all_dead_reports_not_run(proxy):
    proxy.start({}, {})
    proxy.targets[0].stop()
    assert {proxy.send("POST").status for _ in range(10)} == {200}
    proxy.targets[1].stop()
    response = proxy.send("POST")
    assert (response.status >= 500, response.headers[RUN]) == (True, "not-run")


def test_request_to_a_hanging_target_ends_at_the_deadline(proxy):
    proxy.start({"gray_share": 1.0, "gray_way": "hang", "gray_delay_s": 5.0})
    response = proxy.send("POST", **{"Lacewingpond-Deadline-Ms": "100"})
    assert (response.status, response.headers[RUN]) == (504, "unknown")


def test_balancer_check_follows_availability(proxy):
    path = "/-/lacewingpond/ready"
    assert proxy.send(path=path, key="").status == 200
    proxy.availability.is_ready = False
    assert proxy.send(path=path, key="").status == 503


KEY_HEADERS = {"Idempotency-Key": "commission-7"}


def test_repeated_keyed_request_returns_the_stored_response(proxy):
    proxy.start({}, {})
    responses = [proxy.send("POST", body=b"book", **KEY_HEADERS) for _ in range(3)]
    assert [(a.status, a.data) for a in responses] == [(200, b"book")] * 3
    replayed = [a.headers.get("Idempotency-Replayed") for a in responses]
    assert replayed == [None, "true", "true"]
    assert proxy.run_count() == 1


def test_same_key_with_another_body_is_refused(proxy):
    proxy.start({})
    assert proxy.send("POST", body=b"one", **KEY_HEADERS).status == 200
    response = proxy.send("POST", body=b"two", **KEY_HEADERS)
    assert (response.status, reason(response)) == (422, "key-reused")
    assert proxy.run_count() == 1


def test_keyed_request_runs_on_after_its_caller_disconnects(proxy):
    proxy.start({"work_s": 0.2})
    with pytest.raises(urllib3.exceptions.HTTPError):
        proxy.send("POST", body=b"book", timeout=0.05, **KEY_HEADERS)
    response = proxy.send("POST", body=b"book", **KEY_HEADERS)
    assert (response.status, response.data) == (200, b"book")
    assert proxy.run_count() == 1


def test_keyed_request_that_did_not_run_may_run_after_retry_after(proxy):
    proxy.start({"shed_share": 1.0})
    response = proxy.send("POST", body=b"book", **KEY_HEADERS)
    assert (response.status, response.headers[RUN]) == (503, "not-run")
    proxy.targets[0].configure(StandinTargetOptions(work_s=0.0))
    gevent.sleep(float(response.headers["Retry-After"]))
    assert proxy.send("POST", body=b"book", **KEY_HEADERS).status == 200


def test_crashed_keyed_request_stays_unknown(proxy):
    proxy.start({"restart_s": 0.05}, {})
    for _ in range(3):
        response = proxy.send("POST", body=b"book", **{"X-Crash": "1", **KEY_HEADERS})
        assert response.headers[RUN] == "unknown"
    assert proxy.run_count() == 1


def test_too_long_body_of_a_keyed_request_is_refused_as_not_run(proxy):
    proxy.start({})
    response = proxy.send("POST", body=b"x" * 300_000, **KEY_HEADERS)
    assert (response.status, response.headers[RUN]) == (413, "not-run")
    assert proxy.run_count() == 0


def test_304_with_transfer_encoding_has_no_body(proxy):
    def unchanged(sock, _address):
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n")
        gevent.sleep(2.0)

    server = StreamServer(("127.0.0.1", 0), unchanged)
    server.start()
    proxy.start()
    proxy.configure((Target("t0", f"127.0.0.1:{server.server_port}"),))
    response = proxy.send(**{"Lacewingpond-Deadline-Ms": "500"})
    server.stop(timeout=0)
    assert response.status == 304


def test_idempotency_key_reused_on_another_host_is_refused(proxy):
    proxy.start({})
    assert (
        proxy.send("POST", body=b"book", **KEY_HEADERS, Host="a.example:80").status
        == 200
    )
    other = proxy.send("POST", body=b"book", **KEY_HEADERS, Host="b.example")
    assert (other.status, reason(other)) == (422, "key-reused")
    again = proxy.send("POST", body=b"book", **KEY_HEADERS, Host="A.example")
    assert again.headers["Idempotency-Replayed"] == "true"
    assert proxy.run_count() == 1


@pytest.mark.parametrize(
    "changed",
    [
        {"workspaces": ("other",)},
        {"host": "elsewhere.example"},
        {"methods": ("GET",)},
    ],
)
def test_owner_refuses_keyed_request_that_its_own_routes_forbid(proxy, changed):
    proxy.start({})
    proxy.runner.configure(
        RouteTable.from_config(proxy.config(proxy.target_list(), **changed))
    )
    response = proxy.send("POST", body=b"book", **KEY_HEADERS)
    assert (response.status, response.headers[RUN]) == (503, "not-run")
    assert proxy.run_count() == 0


def test_key_withdrawn_while_the_body_arrives_is_refused(proxy):
    proxy.start({})

    def body():
        yield b"bo"
        gevent.sleep(0.1)
        proxy.withdraw_key()
        yield b"ok"

    for headers in ({}, KEY_HEADERS):
        proxy.start()
        slow = {"Content-Length": "4", **headers}
        response = proxy.send("POST", body=body(), **slow)
        assert (response.status, response.headers[RUN]) == (401, "not-run")
    assert proxy.run_count() == 0


def test_differing_idempotency_keys_are_refused(proxy):
    proxy.start({})
    keys = urllib3.HTTPHeaderDict({"Authorization": f"Bearer {KEY}"})
    keys.add("Idempotency-Key", "one")
    keys.add("Idempotency-Key", "two")
    url = f"http://127.0.0.1:{proxy.server.port}/pay"
    response = proxy.http.request("POST", url, headers=keys, body=b"book")
    assert (response.status, response.headers[RUN]) == (400, "not-run")
    assert proxy.run_count() == 0


@pytest.mark.parametrize(
    "exposed",
    [
        {"path": f"/pay?api_key={KEY}"},
        {"path": f"/pay?api_key={KEY.replace('-', '%2D')}"},
        {"Cookie": f"session={KEY}"},
        {"X-Auth-Token": KEY},
    ],
)
def test_key_exposed_outside_its_headers_is_refused(proxy, exposed):
    proxy.start({})
    response = proxy.send(**{"X-Api-Key": KEY, **exposed})
    assert (response.status, reason(response)) == (400, "key-exposed")
    assert response.headers[RUN] == "not-run"
    assert proxy.run_count() == 0
    assert not any(KEY in str(line) for line in proxy.log.lines)


@pytest.mark.parametrize("field", ["Authorization", "Cookie"])
def test_open_route_replays_only_for_the_same_credentials(proxy, field):
    proxy.start({})
    params = {"method": "POST", "path": "/open", "key": "", "body": b"book"}
    assert proxy.send(**params, **KEY_HEADERS, **{field: "Basic c2l0YQ"}).status == 200
    other = proxy.send(**params, **KEY_HEADERS, **{field: "Basic cmFt"})
    assert (other.status, other.headers[RUN]) == (422, "unknown")
    again = proxy.send(**params, **KEY_HEADERS, **{field: "Basic c2l0YQ"})
    assert again.headers["Idempotency-Replayed"] == "true"
    assert proxy.run_count() == 1


def test_open_event_streams_occupy_no_concurrency_slots(proxy):
    def serve(environ, start_response):
        if environ["PATH_INFO"] != "/pay/events":
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        write(b"data: 1\n\n")
        gevent.sleep(60.0)
        return [b"data: 2\n\n"]

    servers = [
        WSGIServer(("127.0.0.1", 0), serve, log=None, error_log=None) for _ in range(3)
    ]
    for server in servers:
        server.start()
    addresses = [f"127.0.0.1:{server.server_port}" for server in servers]
    proxy.configure(tuple(Target(address, address) for address in addresses))
    url = f"http://127.0.0.1:{proxy.server.port}/pay/events"
    streams = [
        proxy.http.request(
            "GET", url, headers={"X-Api-Key": KEY}, preload_content=False
        )
        for _ in range(int(QueueOptions().first_limit))
    ]
    response = proxy.send(**{"Lacewingpond-Deadline-Ms": "500"})
    for stream in streams:
        stream.close()
    for server in servers:
        server.stop(timeout=0)
    assert {stream.status for stream in streams} == {200}
    assert (response.status, response.data) == (200, b"ok")


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_disconnect_during_a_stream_is_not_a_target_failure(proxy, method):
    def serve(environ, start_response):
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        # A non-idempotent request notices the disconnect only when it writes.
        for _ in range(1 if method == "GET" else 8):
            write(b"data: 1\n\n")
            gevent.sleep(0.05)
        gevent.sleep(60.0)
        return [b"data: 2\n\n"]

    server = WSGIServer(("127.0.0.1", 0), serve, log=None, error_log=None)
    server.start()
    target = Target("t0", f"127.0.0.1:{server.server_port}")
    proxy.configure((target,))
    outcomes, crashes = [], []
    dispatcher = proxy.pipeline._dispatcher
    dispatcher.health = Stub(record=lambda *args: outcomes.append(args[2]))
    dispatcher.quarantine = Stub(
        quarantined_s=lambda _: 0.0,
        note_crashed=lambda *args: crashes.append(args),
    )
    with socket.create_connection(("127.0.0.1", proxy.server.port)) as sock:
        head = f"{method} /pay HTTP/1.1\r\nHost: a\r\nX-Api-Key: {KEY}\r\n\r\n"
        sock.sendall(head.encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
    while dispatcher.client.connections(target):
        gevent.sleep(0.01)
    server.stop(timeout=0)
    assert (outcomes, crashes) == ([Outcome.OK], [])


@pytest.mark.parametrize(
    ("value", "status", "outcome"),
    [
        ("@@@SKIP_HEADER@@@", b"400", Outcome.CANCELLED),
        ("caf\xe9\t\x80", b"200", Outcome.OK),
        ("", b"200", Outcome.OK),
    ],
)
def test_unusual_header_value_is_not_a_target_failure(proxy, value, status, outcome):
    proxy.start({})
    outcomes = []
    health = Stub(record=lambda *args: outcomes.append(args[2]))
    proxy.pipeline._dispatcher.health = health
    fields = f"Host: a\r\nX-Api-Key: {KEY}\r\nX-Note: {value}\r\n"
    with socket.create_connection(("127.0.0.1", proxy.server.port)) as sock:
        sock.sendall(f"POST /pay HTTP/1.1\r\n{fields}\r\n".encode("latin-1"))
        assert sock.recv(65_536).startswith(b"HTTP/1.1 " + status)
    assert outcomes == [outcome]


def send_upload(proxy, end):
    """Upload to a target that responds at once, without a length."""

    def serve(sock):
        read_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        end(sock)

    with raw_target(serve) as target:
        proxy.configure((target,))
        return proxy.send("POST", "/open", body=b"u" * UPLOAD_BYTES)


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(5)


# Guards against the part of a response that a caller gets as a complete one.
def test_response_that_is_reset_during_the_upload_has_no_end(proxy):
    with pytest.raises(urllib3.exceptions.ProtocolError):
        send_upload(proxy, reset)


def test_response_that_ends_cleanly_during_the_upload_is_complete(proxy):
    response = send_upload(proxy, half_close)
    assert (response.status, response.data) == (200, b"part")
