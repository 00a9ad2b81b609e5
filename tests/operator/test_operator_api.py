"""Tests of the operators' API and its client over loopback sockets."""

import random

import gevent.pywsgi
import msgspec
import pytest
import urllib3

from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import (
    GrantKey,
    PutRoute,
    PutService,
    PutWorkspace,
    SetRate,
    WithdrawKey,
)
from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.operator.api import OperatorApi
from lacewingpond.operator.client import OperatorClient
from lacewingpond.operator.options import OperatorOptions
from lacewingpond.operator.status import FleetStatus
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import VmRecord
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.errors import UserError

TOKEN = "t0ken"
INTENTS = (
    PutWorkspace(Workspace("shop", 10.0, 20.0)),
    PutService(Service("gallery", (Target("t0", "10.0.0.1:80"),))),
    PutRoute(Route("pages", "gallery", "/pages")),
    GrantKey(Key("k1", "shop", key_digest("secret"))),
)


class FixedMembership:
    """A membership view with a fixed set of live VMs."""

    def __init__(self, records):
        self.records = records

    def live(self):
        return self.records


class ApiServer:
    """The operators' API of one VM, on loopback."""

    def __init__(self, vm, others, memory, network):
        clock, log = RuntimeClock(), RecordingDecisionLog()
        self.store = FaultyStore(memory, clock)
        self.holder = ConfigHolder()
        repository = ConfigRepository(self.store)
        channel, membership = network.channel(vm.vm_id), FixedMembership(others)
        options = ConfigOptions()
        distributor = ConfigDistributor(
            vm,
            self.holder,
            repository,
            channel,
            membership,
            lambda: len(others),
            options,
            clock,
            random.Random(1),
            log,
            CountingMetrics(),
        )
        service = ConfigService.from_distributor(
            self.holder, repository, distributor, clock, log
        )
        status = FleetStatus(vm, self.holder, distributor, channel, membership, options)
        api = OperatorApi.from_options(
            OperatorOptions(token=TOKEN, max_body_bytes=5_000), service, status.read
        )
        self.server = gevent.pywsgi.WSGIServer(
            ("127.0.0.1", 0), api.wsgi_app, log=None, error_log=None
        )
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.client = OperatorClient(self.address, TOKEN)


@pytest.fixture
def servers():
    clock = RuntimeClock()
    memory = MemoryStore(clock)
    network = MemoryNetwork(clock, random.Random(1))
    vms = [VmRecord(f"vm-{n}", "", "a") for n in range(3)]
    started = [
        ApiServer(vm, tuple(o for o in vms if o is not vm), memory, network)
        for vm in vms
    ]
    yield started
    for api_server in started:
        api_server.server.stop(timeout=0.1)


def send_request(api_server, method, path, body=b"", token=TOKEN):
    http = urllib3.PoolManager(retries=False)
    headers = {"Authorization": f"Bearer {token}"}
    url = f"http://{api_server.address}{path}"
    return http.request(method, url, body=body, headers=headers)


def test_plan_on_one_vm_is_confirmed_on_another(servers):
    one, other = servers[0].client, servers[1].client
    planned = one.plan(INTENTS).unwrap()
    assert (planned.state, len(planned.diff)) == ("pending", 4)
    assert other.confirm(planned.plan_id).unwrap().revision == 1
    assert one.confirm(planned.plan_id).unwrap().repeated
    assert one.show_plan(planned.plan_id).unwrap().revision == 1
    shown = send_request(servers[1], "GET", "/config").data
    assert b"k1" in shown
    assert key_digest("secret").encode() not in shown
    plan_text = send_request(servers[0], "GET", f"/plans/{planned.plan_id}").data
    assert key_digest("secret").encode() not in plan_text


def test_conflict_lists_the_changes_since_the_plan(servers):
    one, other = servers[0].client, servers[1].client
    one.confirm(one.plan(INTENTS).unwrap().plan_id)
    first = one.plan((WithdrawKey("k1"),)).unwrap()
    second = other.plan((SetRate("workspace", "shop", 5.0, 5.0),)).unwrap()
    one.confirm(first.plan_id).unwrap()
    error = other.confirm(second.plan_id).unwrap_err()
    assert (error.status, error.problem.outcome) == (409, "conflict")
    assert "remove key k1" in str(error)


def test_all_findings_are_in_one_response(servers):
    bad = (SetRate("workspace", "x", 1.0, 1.0), WithdrawKey("k9"))
    error = servers[0].client.plan(bad).unwrap_err()
    assert error.status == 422
    places = [finding.place for finding in error.problem.findings]
    assert places == ["intents[0].name", "intents[1].key_id"]


@pytest.mark.parametrize(
    ("body", "places"),
    [
        (b"{", ["$"]),
        (b'{"intents": 7}', ["intents"]),
        (b'{"intents": [], "x": 1}', ["$"]),
        (
            b"""{"intents": [
                {"type": "no-such"},
                {"type": "withdraw-key"},
                {"type": "withdraw-key", "key_id": "k1"},
                {"type": "withdraw-key", "key_id": 1},
                {"type": "withdraw-key", "key_id": "a", "x": 1}]}""",
            ["intents[0].type", "intents[1]", "intents[3].key_id", "intents[4]"],
        ),
    ],
)
def test_malformed_intents_are_reported_by_place(servers, body, places):
    response = send_request(servers[0], "POST", "/intents", body)
    assert response.status == 400
    assert [
        f["place"] for f in msgspec.json.decode(response.data)["findings"]
    ] == places


def test_long_bodies_wrong_tokens_and_unknown_paths_are_refused(servers):
    assert send_request(servers[0], "POST", "/intents", b" " * 5_001).status == 413
    assert send_request(servers[0], "GET", "/config", token="wrong").status == 401
    assert send_request(servers[0], "GET", "/nowhere").json() == {"error": "not found"}
    assert send_request(servers[0], "GET", "/plans/feed").status == 404
    with pytest.raises(UserError):
        OperatorApi.from_options(OperatorOptions(), None, None)


def test_confirmation_outcome_is_correct_when_the_store_or_daemon_fails(servers):
    one = servers[0]
    planned = one.client.plan(INTENTS).unwrap()
    one.store.faults.outage = True
    for response in (one.client.confirm(planned.plan_id), one.client.plan(INTENTS)):
        error = response.unwrap_err()
        assert (error.status, error.problem.outcome) == (503, "not-accepted")
    one.store.faults.outage = False
    one.store.faults.lose_answers = 2
    assert one.client.confirm(planned.plan_id).unwrap().revision == 1
    servers[1].server.stop(timeout=0.1)
    assert servers[1].client.confirm("x").unwrap_err().problem.outcome == "not-accepted"


def test_status_has_the_revision_of_each_vm(servers):
    one = servers[0].client
    one.confirm(one.plan(INTENTS).unwrap().plan_id)
    status = one.status().unwrap()
    assert [vm.vm_id for vm in status.vms] == ["vm-0", "vm-1", "vm-2"]
    assert status.vms[0].revision == 1
    assert all(vm.revision is not None for vm in status.vms)
