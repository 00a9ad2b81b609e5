"""Tests that each kind of change takes effect in a running daemon."""

import pytest
import urllib3

from lacewingpond.config.changes import Changes
from lacewingpond.config.keys import digest_of
from lacewingpond.config.kinds import ItemRef, ref_of
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.demo.fleet import LocalFleet
from lacewingpond.util.clock import RuntimeClock

WITHIN_S = 20.0
KEYS = tuple(Key(name, "sita", digest_of(name)) for name in ("k1", "k2"))
WORKSPACE = Workspace("sita", 500.0, 200.0)
PAY = Route("pay", "ledger", "/pay")


class Bench:
    """One daemon before two targets; items are changed without a plan."""

    def __init__(self):
        self.fleet = LocalFleet(RuntimeClock(), seed=1)
        self.listed = tuple(
            Target(name, self.fleet.add_target(name, work_s=0.0).address)
            for name in ("ledger-1", "ledger-2")
        )
        self.daemon = self.fleet.add_daemon("vm-1")
        self.http = urllib3.PoolManager(retries=False)
        assert self.fleet.wait_until(self.fleet.owns_all_shards, WITHIN_S) is not None
        self.change(workspaces=(WORKSPACE,), keys=KEYS, routes=(PAY,))
        self.change(services=(Service("ledger", self.listed[:1]),))

    def change(self, **fields):
        holder = self.daemon.fleet.holder
        assert holder.replace(holder.state.changed(Changes(**fields), "plan"))

    def ask(self, key="k1", path="/pay"):
        url = f"http://{self.daemon.caller_address}{path}"
        return self.http.request("GET", url, headers={"X-Api-Key": key}).status


@pytest.fixture
def bench():
    bench = Bench()
    assert bench.ask() == 200
    yield bench
    bench.fleet.stop()


def test_granted_and_withdrawn_key_take_effect_alone(bench):
    assert bench.ask("k3") == 401
    bench.change(keys=(Key("k3", "sita", digest_of("k3")),))
    assert bench.ask("k3") == 200
    bench.change(removed=(ref_of(KEYS[0]),))
    assert [bench.ask(key) for key in ("k1", "k2", "k3")] == [401, 200, 200]


def test_removed_workspace_takes_effect_though_its_keys_stay(bench):
    bench.change(removed=(ItemRef("workspaces", "sita"),))
    assert [bench.ask(key) for key in ("k1", "k2")] == [401, 401]


def test_workspace_that_comes_after_its_key_takes_effect(bench):
    bench.change(keys=(Key("k3", "gita", digest_of("k3")),))
    assert bench.ask("k3") == 401
    bench.change(workspaces=(Workspace("gita", 500.0, 200.0),))
    assert [bench.ask(key) for key in ("k1", "k3")] == [200, 200]


def test_rates_of_workspace_route_and_service_take_effect(bench):
    buckets = ("w:sita", "r:pay", "s:ledger")
    bench.change(workspaces=(Workspace("sita", 7.0, 7.0),))
    bench.change(routes=(Route("pay", "ledger", "/pay", rate=8.0),))
    bench.change(services=(Service("ledger", bench.listed, rate=9.0),))
    table = bench.daemon.traffic.limiter._table
    assert [table.buckets.get(name).rate for name in buckets] == [7.0, 8.0, 9.0]


def test_route_takes_effect_and_goes_with_its_removal(bench):
    assert bench.ask(path="/new") == 404
    bench.change(routes=(Route("new", "ledger", "/new"),))
    assert bench.ask(path="/new") == 200
    bench.change(removed=(ItemRef("routes", "new"),))
    assert [bench.ask(path=path) for path in ("/new", "/pay")] == [404, 200]


def test_targets_of_a_service_take_effect_and_go_with_it(bench):
    bench.change(services=(Service("ledger", bench.listed[1:]),))
    ran = bench.fleet.targets["ledger-1"].stats.run
    assert bench.ask() == 200
    assert bench.fleet.targets["ledger-2"].stats.run == 1
    assert bench.fleet.targets["ledger-1"].stats.run == ran
    bench.change(removed=(ItemRef("services", "ledger"),))
    assert bench.ask() == 404


def test_part_that_failed_takes_the_change_with_the_next_one(bench, monkeypatch):
    with monkeypatch.context() as broken:
        broken.setattr(type(bench.daemon.traffic.queue), "configure", None)
        bench.change(removed=(ItemRef("workspaces", "sita"),))
    bench.change(keys=(Key("k3", "sita", digest_of("k3")),))
    assert [bench.ask(key) for key in ("k1", "k3")] == [401, 401]


def test_key_is_withdrawn_although_another_part_failed(bench, monkeypatch):
    monkeypatch.setattr(type(bench.daemon.traffic.queue), "configure", None)
    bench.change(removed=(ItemRef("workspaces", "sita"),))
    assert bench.ask("k1") == 401
