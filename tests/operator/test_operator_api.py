"""Tests of the operators' API and its client over loopback."""

import random

import gevent.pywsgi
import msgspec
import pytest
import urllib3

from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import (
    GrantKey,
    PutRoute,
    PutService,
    PutWorkspace,
    SetRate,
    WithdrawKey,
)
from lacewingpond.config.keys import digest_of
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.config.spread import ConfigSpread
from lacewingpond.operator.api import OperatorApi
from lacewingpond.operator.client import OperatorClient
from lacewingpond.operator.options import OperatorOptions
from lacewingpond.operator.status import FleetStatus
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.standin.faulty import FaultyStore
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
    GrantKey(Key("k1", "shop", digest_of("secret"))),
)


class Listed:
    """A membership view that is set by hand."""

    def __init__(self, records):
        self.records = records

    def live(self):
        return self.records


class Daemon:
    """One VM's operator side on loopback."""

    def __init__(self, vm, others, memory, network):
        clock, log = RuntimeClock(), RecordingDecisionLog()
        self.store = FaultyStore(memory, clock)
        self.holder = ConfigHolder()
        repository = ConfigRepository(self.store)
        channel, members = network.channel(vm.vm_id), Listed(others)
        options = ConfigOptions()
        spread = ConfigSpread(
            vm,
            self.holder,
            repository,
            channel,
            members,
            lambda: len(others),
            options,
            clock,
            random.Random(1),
            log,
            CountingMetrics(),
        )
        service = ConfigService.from_spread(self.holder, repository, spread, clock, log)
        status = FleetStatus(vm, self.holder, spread, channel, members, options)
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
def daemons():
    clock = RuntimeClock()
    memory = MemoryStore(clock)
    network = MemoryNetwork(clock, random.Random(1))
    vms = [VmRecord(f"vm-{n}", "", "a") for n in range(3)]
    made = [
        Daemon(vm, tuple(o for o in vms if o is not vm), memory, network) for vm in vms
    ]
    yield made
    for daemon in made:
        daemon.server.stop(timeout=0.1)


def raw(daemon, method, path, body=b"", token=TOKEN):
    http = urllib3.PoolManager(retries=False)
    headers = {"Authorization": f"Bearer {token}"}
    url = f"http://{daemon.address}{path}"
    return http.request(method, url, body=body, headers=headers)


def test_plan_on_one_vm_is_confirmed_on_another(daemons):
    one, other = daemons[0].client, daemons[1].client
    made = one.plan(INTENTS).unwrap()
    assert (made.state, len(made.diff)) == ("pending", 4)
    assert other.confirm(made.plan_id).unwrap().revision == 1
    assert one.confirm(made.plan_id).unwrap().repeated
    assert one.show_plan(made.plan_id).unwrap().revision == 1
    shown = raw(daemons[1], "GET", "/config").data
    assert b"k1" in shown
    assert digest_of("secret").encode() not in shown
    plan_text = raw(daemons[0], "GET", f"/plans/{made.plan_id}").data
    assert digest_of("secret").encode() not in plan_text


def test_conflict_names_what_changed(daemons):
    one, other = daemons[0].client, daemons[1].client
    one.confirm(one.plan(INTENTS).unwrap().plan_id)
    first = one.plan((WithdrawKey("k1"),)).unwrap()
    second = other.plan((SetRate("workspace", "shop", 5.0, 5.0),)).unwrap()
    one.confirm(first.plan_id).unwrap()
    error = other.confirm(second.plan_id).unwrap_err()
    assert (error.status, error.problem.outcome) == (409, "conflict")
    assert "remove key k1" in str(error)


def test_all_findings_come_in_one_answer(daemons):
    bad = (SetRate("workspace", "x", 1.0, 1.0), WithdrawKey("k9"))
    error = daemons[0].client.plan(bad).unwrap_err()
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
def test_bad_json_is_a_clear_error(daemons, body, places):
    answer = raw(daemons[0], "POST", "/intents", body)
    assert answer.status == 400
    assert [f["place"] for f in msgspec.json.decode(answer.data)["findings"]] == places


def test_long_bodies_wrong_tokens_and_unknown_paths_are_refused(daemons):
    assert raw(daemons[0], "POST", "/intents", b" " * 5_001).status == 413
    assert raw(daemons[0], "GET", "/config", token="wrong").status == 401
    assert raw(daemons[0], "GET", "/nowhere").json() == {"error": "not found"}
    assert raw(daemons[0], "GET", "/plans/feed").status == 404
    with pytest.raises(UserError):
        OperatorApi.from_options(OperatorOptions(), None, None)


def test_store_away_is_told_truthfully(daemons):
    one = daemons[0]
    made = one.client.plan(INTENTS).unwrap()
    one.store.faults.outage = True
    for answer in (one.client.confirm(made.plan_id), one.client.plan(INTENTS)):
        error = answer.unwrap_err()
        assert (error.status, error.problem.outcome) == (503, "not-accepted")
    one.store.faults.outage = False
    one.store.faults.lose_answers = 2
    assert one.client.confirm(made.plan_id).unwrap().revision == 1
    daemons[1].server.stop(timeout=0.1)
    assert daemons[1].client.confirm("x").unwrap_err().problem.outcome == "not-accepted"


def test_status_tells_the_revision_of_each_vm(daemons):
    one = daemons[0].client
    one.confirm(one.plan(INTENTS).unwrap().plan_id)
    status = one.status().unwrap()
    assert [vm.vm_id for vm in status.vms] == ["vm-0", "vm-1", "vm-2"]
    assert status.vms[0].revision == 1
    assert all(vm.revision is not None for vm in status.vms)
