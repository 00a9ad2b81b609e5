"""Tests that changes of each kind of item take effect in a running daemon."""

import pytest
import urllib3

from lacewingpond.config.changes import Changes
from lacewingpond.config.keys import key_digest
from lacewingpond.config.kinds import ItemRef, ref_of
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.demo.fleet import LocalFleet
from lacewingpond.util.clock import RuntimeClock

TIMEOUT_S = 20.0
KEYS = tuple(Key(name, "sita", key_digest(name)) for name in ("k1", "k2"))
WORKSPACE = Workspace("sita", 500.0, 200.0)
PAY = Route("pay", "ledger", "/pay")


class DaemonHarness:
    """One daemon and two targets; items are changed directly, without a plan."""

    def __init__(self):
        self.fleet = LocalFleet(RuntimeClock(), seed=1)
        self.targets = tuple(
            Target(name, self.fleet.add_target(name, work_s=0.0).address)
            for name in ("ledger-1", "ledger-2")
        )
        self.daemon = self.fleet.add_daemon("vm-1")
        self.pool = urllib3.PoolManager(retries=False)
        assert self.fleet.wait_until(self.fleet.owns_all_shards, TIMEOUT_S) is not None
        self.change(workspaces=(WORKSPACE,), keys=KEYS, routes=(PAY,))
        self.change(services=(Service("ledger", self.targets[:1]),))

    def change(self, **fields):
        holder = self.daemon.fleet.holder
        assert holder.replace(holder.state.with_changes(Changes(**fields), "plan"))

    def request_status(self, key="k1", path="/pay"):
        url = f"http://{self.daemon.caller_address}{path}"
        return self.pool.request("GET", url, headers={"X-Api-Key": key}).status


@pytest.fixture
def harness():
    harness = DaemonHarness()
    assert harness.request_status() == 200
    yield harness
    harness.fleet.stop()


def test_granted_and_withdrawn_keys_take_effect_without_other_changes(harness):
    assert harness.request_status("k3") == 401
    harness.change(keys=(Key("k3", "sita", key_digest("k3")),))
    assert harness.request_status("k3") == 200
    harness.change(removed=(ref_of(KEYS[0]),))
    assert [harness.request_status(key) for key in ("k1", "k2", "k3")] == [
        401,
        200,
        200,
    ]


def test_keys_of_a_removed_workspace_are_refused(harness):
    harness.change(removed=(ItemRef("workspaces", "sita"),))
    assert [harness.request_status(key) for key in ("k1", "k2")] == [401, 401]


def test_key_is_accepted_once_its_workspace_is_added(harness):
    harness.change(keys=(Key("k3", "gita", key_digest("k3")),))
    assert harness.request_status("k3") == 401
    harness.change(workspaces=(Workspace("gita", 500.0, 200.0),))
    assert [harness.request_status(key) for key in ("k1", "k3")] == [200, 200]


def test_rates_of_workspace_route_and_service_take_effect(harness):
    buckets = ("w:sita", "r:pay", "s:ledger")
    harness.change(workspaces=(Workspace("sita", 7.0, 7.0),))
    harness.change(routes=(Route("pay", "ledger", "/pay", rate=8.0),))
    harness.change(services=(Service("ledger", harness.targets, rate=9.0),))
    table = harness.daemon.traffic.limiter._table
    assert [table.buckets.get(name).rate for name in buckets] == [7.0, 8.0, 9.0]


def test_route_takes_effect_until_it_is_removed(harness):
    assert harness.request_status(path="/new") == 404
    harness.change(routes=(Route("new", "ledger", "/new"),))
    assert harness.request_status(path="/new") == 200
    harness.change(removed=(ItemRef("routes", "new"),))
    assert [harness.request_status(path=path) for path in ("/new", "/pay")] == [
        404,
        200,
    ]


def test_targets_take_effect_until_their_service_is_removed(harness):
    harness.change(services=(Service("ledger", harness.targets[1:]),))
    runs_before = harness.fleet.targets["ledger-1"].stats.run
    assert harness.request_status() == 200
    assert harness.fleet.targets["ledger-2"].stats.run == 1
    assert harness.fleet.targets["ledger-1"].stats.run == runs_before
    harness.change(removed=(ItemRef("services", "ledger"),))
    assert harness.request_status() == 404


def test_component_that_failed_applies_the_change_with_the_next_revision(
    harness, monkeypatch
):
    with monkeypatch.context() as patch:
        patch.setattr(type(harness.daemon.traffic.queue), "configure", None)
        harness.change(removed=(ItemRef("workspaces", "sita"),))
    harness.change(keys=(Key("k3", "sita", key_digest("k3")),))
    assert [harness.request_status(key) for key in ("k1", "k3")] == [401, 401]


def test_key_is_withdrawn_although_another_component_failed(harness, monkeypatch):
    monkeypatch.setattr(type(harness.daemon.traffic.queue), "configure", None)
    harness.change(removed=(ItemRef("workspaces", "sita"),))
    assert harness.request_status("k1") == 401
