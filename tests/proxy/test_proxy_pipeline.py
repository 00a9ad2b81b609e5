"""Tests of the way of a request, with real targets on loopback."""

import hashlib
import random
from types import SimpleNamespace as Recorder

import gevent
import msgspec
import pytest
import urllib3
from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

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
from lacewingpond.placement.placer import REFRESH_S, Placer
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
from lacewingpond.shards.part_context import PartContext
from lacewingpond.standin.options import TargetOptions
from lacewingpond.standin.target import StandinTarget
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions as ClientOptions
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

KEY = "publisher-key"
RUN = "Lacewingpond-Run"


class NoMembers:
    """A fleet of one VM."""

    def live(self):
        return ()


class Switch:
    """An availability that tests set."""

    is_ready = True
    is_isolated = False


class Bench:
    """One VM's request path before stand-in targets."""

    def __init__(self):
        self.clock = RuntimeClock()
        self.log = RecordingDecisionLog()
        self.switch = Switch()
        self.targets = []
        self.pipeline = self._pipeline()
        self.server = CallerServer.from_options(
            HttpOptions(), self.pipeline.handle, self.log, self.clock
        )
        self.server.start()
        self.http = urllib3.PoolManager(retries=False)

    def _pipeline(self):
        rng, metrics = random.Random(1), CountingMetrics()
        told = (self.log, metrics)
        channel = MemoryNetwork(self.clock, rng).channel("vm-1")
        shards = FakeShardTable(8, ("vm-1",), self.clock).view("vm-1")
        common = PartContext("vm-1", self.clock, rng, channel, shards, *told)
        self.limiter = FleetLimiter.from_options(LimitOptions(), common)
        self.health = HealthReporter.from_options(HealthOptions(), common)
        for shard in range(shards.shard_count):
            self.limiter.adopt(shards.owned(shard), None)
            self.health.adopt(shards.owned(shard), None)
        self.placer = Placer.from_options(
            PlacementOptions(), "vm-1", "a", self.clock, rng, self.health, *told
        )
        self.queue = FairQueue.from_options(QueueOptions(), self.clock, *told)
        client = TargetClient.from_options(
            ClientOptions(abandoned_body_s=0.5), self.clock, rng, self.log
        )
        self.blamed = []
        client.on_silent = lambda target_id, count: self.blamed.append(target_id)
        self.quarantine = QuarantineService.from_options(
            QuarantineOptions(), common, NoMembers()
        )
        for shard in range(shards.shard_count):
            self.quarantine.adopt(shards.owned(shard), None)
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
            self.keyed.adopt(shards.owned(shard), None)
        parts = (self.limiter, dispatcher, self.keyed, runner, self.switch)
        return Pipeline(options, *parts, self.clock, *told)

    def start(self, *targets, rate=1000.0, **route):
        for options in targets:
            options = TargetOptions(**{"work_s": 0.0, **options})
            self.targets.append(StandinTarget.from_options(options, self.clock))
            self.targets[-1].start()
        self.configure(self.listed(), rate, **route)

    def listed(self):
        return tuple(Target(f"t{i}", t.address) for i, t in enumerate(self.targets))

    def withdraw_key(self):
        self.configure(self.listed(), granted=False)

    def configure(self, listed, rate=1000.0, **route):
        cfg = self.config(listed, rate, **route)
        parts = (self.limiter, self.health, self.placer, self.queue, self.pipeline)
        for part in parts:
            part.configure(cfg)

    def config(self, listed, rate=1000.0, granted=True, **route):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        return Config(
            1,
            (Workspace("sita", rate, rate),),
            (Key("k1", "sita", digest),) if granted else (),
            (
                Service(
                    "ledger",
                    listed,
                    not_run_marker="X-Not-Run: 1",
                    draining_marker="X-Draining: 1",
                ),
            ),
            (
                Route("pay", "ledger", "/pay", **route),
                Route("open", "ledger", "/open", open=True),
            ),
        )

    def ask(self, method="GET", path="/pay", key=KEY, body=None, timeout=5, **headers):
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{self.server.port}{path}"
        return self.http.request(
            method, url, headers=headers, body=body, timeout=timeout
        )

    def runs(self):
        return sum(target.stats.run for target in self.targets)

    def stop(self):
        self.server.stop()
        for target in self.targets:
            target.stop()


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.stop()


def reason(answer):
    return msgspec.json.decode(answer.data)["reason"]


def test_request_is_answered_and_its_key_stays_here(bench):
    bench.start({})
    answer = bench.ask("POST", body=b"commission 7")
    assert (answer.status, answer.data) == (200, b"commission 7")
    assert bench.targets[0].stats.keys_seen == 0
    assert not any(KEY in str(line) for line in bench.log.lines)


@pytest.mark.parametrize(
    ("asked", "status", "why"),
    [
        ({"path": "/none"}, 404, "no-route"),
        ({"key": ""}, 401, "no-key"),
        ({"key": "other"}, 401, "bad-key"),
        ({"Lacewingpond-Deadline-Ms": "soon"}, 400, "bad-deadline"),
    ],
)
def test_refusals_before_a_target_say_not_run(bench, asked, status, why):
    bench.start({})
    answer = bench.ask(**asked)
    assert (answer.status, reason(answer)) == (status, why)
    assert answer.headers[RUN] == "not-run"
    assert bench.runs() == 0


def test_workspace_that_may_not_use_the_route_is_refused(bench):
    bench.start({}, workspaces=("other",))
    assert reason(bench.ask()) == "wrong-workspace"


def test_route_can_demand_an_idempotency_key(bench):
    bench.start({}, require_idempotency_key=True)
    assert bench.ask("POST").status == 400
    assert bench.ask("GET").status == 200


def test_isolated_vm_refuses_keyed_routes_only(bench):
    bench.start({})
    bench.switch.is_isolated = True
    assert reason(bench.ask()) == "isolated"
    assert bench.ask(path="/open", key="").status == 200


def test_rate_is_refused_with_a_time_to_come_back(bench):
    bench.start({}, rate=2.0)
    answers = [bench.ask() for _ in range(6)]
    refused = [answer for answer in answers if answer.status == 429]
    assert refused
    assert all(int(answer.headers["Retry-After"]) >= 0 for answer in refused)
    assert bench.runs() == len(answers) - len(refused)


def test_failed_idempotent_request_is_served_by_another_target(bench):
    bench.start({"gray_share": 1.0}, {})
    assert {bench.ask().status for _ in range(20)} == {200}


def test_non_idempotent_request_is_sent_once(bench):
    bench.start({"gray_share": 1.0}, {"gray_share": 1.0})
    assert bench.ask("POST").status == 500
    assert bench.runs() == 1


def test_broken_non_idempotent_request_is_unknown(bench):
    bench.start({}, {})
    answer = bench.ask("POST", **{"X-Crash": "1"})
    assert (answer.status, answer.headers[RUN]) == (502, "unknown")
    assert bench.runs() == 1


def test_request_that_crashes_targets_is_refused_as_not_run(bench):
    bench.start({"restart_s": 0.05}, {"restart_s": 0.05}, {})
    first = bench.ask("GET", path="/pay/poison", **{"X-Crash": "1"})
    assert (first.status, first.headers[RUN]) == (502, "unknown")
    assert sum(target.stats.crashes for target in bench.targets) == 2
    again = bench.ask("GET", path="/pay/poison", **{"X-Crash": "1"})
    assert (reason(again), again.headers[RUN]) == ("quarantined", "not-run")
    assert sum(target.stats.crashes for target in bench.targets) == 2
    assert bench.ask("GET", path="/pay/other").status == 200


def test_shed_request_goes_to_another_target(bench):
    bench.start({"draining": True}, {})
    assert {bench.ask("POST").status for _ in range(10)} == {200}
    bench.targets[1].configure(TargetOptions(draining=True))
    answer = bench.ask("POST")
    assert (answer.status, answer.headers[RUN]) == (503, "not-run")


def test_target_that_says_it_drains_is_asked_no_more(bench):
    bench.start({"draining": True}, {})
    drained = bench.targets[0].stats
    while drained.arrived == 0:
        assert bench.ask("POST").status == 200
    gevent.sleep(2 * REFRESH_S)
    arrived = drained.arrived
    assert {bench.ask("POST").status for _ in range(30)} == {200}
    assert drained.arrived == arrived


def test_refusal_that_never_ends_is_unknown_at_the_deadline(bench):
    def hang(environ, start_response):
        headers = [("X-Not-Run", "1"), ("Content-Length", "10")]
        write = start_response("503 Service Unavailable", headers)
        write(b"x")
        gevent.sleep(5.0)
        return [b"x" * 9]

    server = WSGIServer(("127.0.0.1", 0), hang, log=None, error_log=None)
    server.start()
    target = Target("t0", f"127.0.0.1:{server.server_port}")
    bench.start()
    bench.configure((target,))
    answer = bench.ask("POST", **{"Lacewingpond-Deadline-Ms": "200"})
    server.stop(timeout=0)
    assert (answer.status, answer.headers[RUN]) == (502, "unknown")


def test_silent_connection_is_blamed_and_not_its_target(bench):
    bench.start({})
    assert bench.ask().status == 200
    bench.targets[0].silence_connections()
    late = bench.ask("GET", **{"Lacewingpond-Deadline-Ms": "150"})
    assert (late.status, late.headers[RUN]) == (504, "unknown")
    assert bench.ask().status == 200
    assert bench.blamed == ["t0"]


def test_dead_target_is_avoided_and_all_dead_is_not_run(bench):
    bench.start({}, {})
    bench.targets[0].stop()
    assert {bench.ask("POST").status for _ in range(10)} == {200}
    bench.targets[1].stop()
    answer = bench.ask("POST")
    assert (answer.status >= 500, answer.headers[RUN]) == (True, "not-run")


def test_hanging_target_ends_at_the_deadline(bench):
    bench.start({"gray_share": 1.0, "gray_way": "hang", "gray_delay_s": 5.0})
    answer = bench.ask("POST", **{"Lacewingpond-Deadline-Ms": "100"})
    assert (answer.status, answer.headers[RUN]) == (504, "unknown")


def test_balancer_check_follows_availability(bench):
    path = "/-/lacewingpond/ready"
    assert bench.ask(path=path, key="").status == 200
    bench.switch.is_ready = False
    assert bench.ask(path=path, key="").status == 503


KEYED = {"Idempotency-Key": "commission-7"}


def test_repeat_gets_the_answer_of_the_one_run(bench):
    bench.start({}, {})
    answers = [bench.ask("POST", body=b"book", **KEYED) for _ in range(3)]
    assert [(a.status, a.data) for a in answers] == [(200, b"book")] * 3
    replayed = [a.headers.get("Idempotency-Replayed") for a in answers]
    assert replayed == [None, "true", "true"]
    assert bench.runs() == 1


def test_same_key_with_another_body_is_refused(bench):
    bench.start({})
    assert bench.ask("POST", body=b"one", **KEYED).status == 200
    answer = bench.ask("POST", body=b"two", **KEYED)
    assert (answer.status, reason(answer)) == (422, "key-reused")
    assert bench.runs() == 1


def test_keyed_request_outlives_its_caller(bench):
    bench.start({"work_s": 0.2})
    with pytest.raises(urllib3.exceptions.HTTPError):
        bench.ask("POST", body=b"book", timeout=0.05, **KEYED)
    answer = bench.ask("POST", body=b"book", **KEYED)
    assert (answer.status, answer.data) == (200, b"book")
    assert bench.runs() == 1


def test_keyed_request_that_no_target_ran_may_run_when_told_to_come_back(bench):
    bench.start({"shed_share": 1.0})
    answer = bench.ask("POST", body=b"book", **KEYED)
    assert (answer.status, answer.headers[RUN]) == (503, "not-run")
    bench.targets[0].configure(TargetOptions(work_s=0.0))
    gevent.sleep(float(answer.headers["Retry-After"]))
    assert bench.ask("POST", body=b"book", **KEYED).status == 200


def test_crashed_keyed_request_is_unknown_for_good(bench):
    bench.start({"restart_s": 0.05}, {})
    for _ in range(3):
        answer = bench.ask("POST", body=b"book", **{"X-Crash": "1", **KEYED})
        assert answer.headers[RUN] == "unknown"
    assert bench.runs() == 1


def test_long_body_with_a_key_is_refused_as_not_run(bench):
    bench.start({})
    answer = bench.ask("POST", body=b"x" * 300_000, **KEYED)
    assert (answer.status, answer.headers[RUN]) == (413, "not-run")
    assert bench.runs() == 0


def test_304_with_a_transfer_coding_has_no_body_to_wait_for(bench):
    def unchanged(sock, _address):
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n")
        gevent.sleep(2.0)

    server = StreamServer(("127.0.0.1", 0), unchanged)
    server.start()
    bench.start()
    bench.configure((Target("t0", f"127.0.0.1:{server.server_port}"),))
    answer = bench.ask(**{"Lacewingpond-Deadline-Ms": "500"})
    server.stop(timeout=0)
    assert answer.status == 304


def test_key_used_on_another_host_gets_no_answer_of_the_first(bench):
    bench.start({})
    assert bench.ask("POST", body=b"book", **KEYED, Host="a.example:80").status == 200
    other = bench.ask("POST", body=b"book", **KEYED, Host="b.example")
    assert (other.status, reason(other)) == (422, "key-reused")
    again = bench.ask("POST", body=b"book", **KEYED, Host="A.example")
    assert again.headers["Idempotency-Replayed"] == "true"
    assert bench.runs() == 1


@pytest.mark.parametrize(
    "changed",
    [
        {"workspaces": ("other",)},
        {"host": "elsewhere.example"},
        {"methods": ("GET",)},
    ],
)
def test_owner_runs_nothing_that_its_own_route_forbids(bench, changed):
    bench.start({})
    bench.runner.configure(
        RouteTable.from_config(bench.config(bench.listed(), **changed))
    )
    answer = bench.ask("POST", body=b"book", **KEYED)
    assert (answer.status, answer.headers[RUN]) == (503, "not-run")
    assert bench.runs() == 0


def test_key_withdrawn_while_its_body_comes_slowly_runs_nothing(bench):
    bench.start({})

    def body():
        yield b"bo"
        gevent.sleep(0.1)
        bench.withdraw_key()
        yield b"ok"

    for headers in ({}, KEYED):
        bench.start()
        slow = {"Content-Length": "4", **headers}
        answer = bench.ask("POST", body=body(), **slow)
        assert (answer.status, answer.headers[RUN]) == (401, "not-run")
    assert bench.runs() == 0


def test_two_idempotency_keys_are_refused(bench):
    bench.start({})
    keys = urllib3.HTTPHeaderDict({"Authorization": f"Bearer {KEY}"})
    keys.add("Idempotency-Key", "one")
    keys.add("Idempotency-Key", "two")
    url = f"http://127.0.0.1:{bench.server.port}/pay"
    answer = bench.http.request("POST", url, headers=keys, body=b"book")
    assert (answer.status, answer.headers[RUN]) == (400, "not-run")
    assert bench.runs() == 0


@pytest.mark.parametrize(
    "shown",
    [
        {"path": f"/pay?api_key={KEY}"},
        {"path": f"/pay?api_key={KEY.replace('-', '%2D')}"},
        {"Cookie": f"session={KEY}"},
        {"X-Auth-Token": KEY},
    ],
)
def test_key_that_is_also_sent_elsewhere_reaches_no_target(bench, shown):
    bench.start({})
    answer = bench.ask(**{"X-Api-Key": KEY, **shown})
    assert (answer.status, reason(answer)) == (400, "key-exposed")
    assert answer.headers[RUN] == "not-run"
    assert bench.runs() == 0
    assert not any(KEY in str(line) for line in bench.log.lines)


@pytest.mark.parametrize("field", ["Authorization", "Cookie"])
def test_open_route_gives_no_answer_to_another_caller(bench, field):
    bench.start({})
    asked = {"method": "POST", "path": "/open", "key": "", "body": b"book"}
    assert bench.ask(**asked, **KEYED, **{field: "Basic c2l0YQ"}).status == 200
    other = bench.ask(**asked, **KEYED, **{field: "Basic cmFt"})
    assert (other.status, other.headers[RUN]) == (422, "unknown")
    again = bench.ask(**asked, **KEYED, **{field: "Basic c2l0YQ"})
    assert again.headers["Idempotency-Replayed"] == "true"
    assert bench.runs() == 1


def test_held_event_streams_leave_room_for_other_requests(bench):
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
    bench.configure(tuple(Target(address, address) for address in addresses))
    url = f"http://127.0.0.1:{bench.server.port}/pay/events"
    held = [
        bench.http.request(
            "GET", url, headers={"X-Api-Key": KEY}, preload_content=False
        )
        for _ in range(int(QueueOptions().first_limit))
    ]
    answer = bench.ask(**{"Lacewingpond-Deadline-Ms": "500"})
    for stream in held:
        stream.close()
    for server in servers:
        server.stop(timeout=0)
    assert {stream.status for stream in held} == {200}
    assert (answer.status, answer.data) == (200, b"ok")


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_caller_that_leaves_a_stream_is_not_blamed_on_the_target(bench, method):
    def serve(environ, start_response):
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        # Only writing shows that the caller of a non-idempotent request has gone.
        for _ in range(1 if method == "GET" else 8):
            write(b"data: 1\n\n")
            gevent.sleep(0.05)
        gevent.sleep(60.0)
        return [b"data: 2\n\n"]

    server = WSGIServer(("127.0.0.1", 0), serve, log=None, error_log=None)
    server.start()
    target = Target("t0", f"127.0.0.1:{server.server_port}")
    bench.configure((target,))
    outcomes, crashes = [], []
    dispatcher = bench.pipeline._dispatcher
    dispatcher.health = Recorder(record=lambda *told: outcomes.append(told[2]))
    dispatcher.quarantine = Recorder(
        quarantined_s=lambda _: 0.0, note_crashed=lambda *told: crashes.append(told)
    )
    with socket.create_connection(("127.0.0.1", bench.server.port)) as sock:
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
def test_odd_header_value_blames_no_target(bench, value, status, outcome):
    bench.start({})
    outcomes = []
    health = Recorder(record=lambda *told: outcomes.append(told[2]))
    bench.pipeline._dispatcher.health = health
    fields = f"Host: a\r\nX-Api-Key: {KEY}\r\nX-Note: {value}\r\n"
    with socket.create_connection(("127.0.0.1", bench.server.port)) as sock:
        sock.sendall(f"POST /pay HTTP/1.1\r\n{fields}\r\n".encode("latin-1"))
        assert sock.recv(65_536).startswith(b"HTTP/1.1 " + status)
    assert outcomes == [outcome]
