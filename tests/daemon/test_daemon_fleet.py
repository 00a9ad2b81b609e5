"""Tests of three daemons over real sockets on loopback."""

import gevent
import pytest
import urllib3

from lacewingpond.config.intents import (
    GrantKey,
    PutRoute,
    PutService,
    PutWorkspace,
    WithdrawKey,
)
from lacewingpond.config.keys import digest_of
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.demo.fleet import LocalFleet
from lacewingpond.util.clock import RuntimeClock

KEY = "a-key-of-chitra-ghar"
KEYED = {"X-Api-Key": KEY}
WITHIN_S = 20.0


@pytest.fixture
def fleet():
    fleet = LocalFleet(RuntimeClock(), seed=1)
    for name in ("ledger-1", "ledger-2"):
        fleet.add_target(name, work_s=0.002)
    for vm_id in ("vm-1", "vm-2", "vm-3"):
        fleet.add_daemon(vm_id)
    assert fleet.wait_until(fleet.owns_all_shards, WITHIN_S) is not None
    targets = tuple(Target(n, t.address) for n, t in fleet.targets.items())
    fleet.change(
        "vm-1",
        PutWorkspace(Workspace("chitra-ghar", 500.0, 200.0)),
        GrantKey(Key("k1", "chitra-ghar", digest_of(KEY))),
        PutService(Service("ledger", targets)),
        PutRoute(Route("pay", "ledger", "/pay")),
    )
    assert wait_for_revision(fleet, 1)
    yield fleet
    fleet.stop()


def wait_for_revision(fleet, revision):
    def everywhere():
        daemons = fleet.daemons.values()
        return all(d.fleet.holder.revision >= revision for d in daemons)

    return fleet.wait_until(everywhere, WITHIN_S) is not None


def ask(fleet, vm_id, pool, method="GET"):
    return ask_at(fleet.daemons[vm_id].caller_address, pool, method)


def ask_at(address, pool, method):
    url = f"http://{address}/pay"
    return pool.request(method, url, headers=KEYED, timeout=5)


def runs(fleet):
    return sum(target.stats.run for target in fleet.targets.values())


def test_key_stops_working_on_held_connections_of_every_vm(fleet):
    pools = {vm_id: urllib3.PoolManager(retries=False) for vm_id in fleet.daemons}
    for vm_id, pool in pools.items():
        assert ask(fleet, vm_id, pool).status == 200
    fleet.change("vm-2", WithdrawKey("k1"))
    assert wait_for_revision(fleet, 2)
    ran = runs(fleet)
    for vm_id, pool in pools.items():
        assert ask(fleet, vm_id, pool).status == 401
    assert runs(fleet) == ran


def test_planned_stop_cuts_no_request_and_hands_shards_over(fleet):
    pool = urllib3.PoolManager(retries=False, maxsize=20)
    address = fleet.daemons["vm-3"].caller_address
    statuses = []

    def caller():
        while True:
            try:
                answer = ask_at(address, pool, "POST")
            except urllib3.exceptions.NewConnectionError:
                return
            statuses.append(answer.status)

    callers = [gevent.spawn(caller) for _ in range(5)]
    gevent.sleep(0.2)
    stopped = fleet.daemons.pop("vm-3")
    assert stopped.stop() == 0
    gevent.joinall(callers, raise_error=True)
    assert set(statuses) == {200}
    assert runs(fleet) == len(statuses)
    assert fleet.wait_until(fleet.owns_all_shards, WITHIN_S) is not None


def test_store_outage_stops_nothing_that_runs(fleet):
    fleet.platform.faults.outage = True
    pool = urllib3.PoolManager(retries=False)
    for vm_id in fleet.daemons:
        assert ask(fleet, vm_id, pool, "POST").status == 200
    service = fleet.daemons["vm-1"].fleet.service
    assert service.plan((WithdrawKey("k1"),)).is_err()
    fleet.platform.faults.outage = False
    fleet.change("vm-1", WithdrawKey("k1"))
    assert wait_for_revision(fleet, 2)


def test_daemon_started_during_an_outage_takes_the_snapshot_of_a_peer(fleet):
    pool = urllib3.PoolManager(retries=False)
    fleet.platform.faults.outage = True
    newcomer = fleet.add_daemon("vm-4")
    ready = fleet.wait_until(lambda: newcomer.availability.is_ready, WITHIN_S)
    assert ready is not None
    assert ask(fleet, "vm-4", pool).status == 200
