"""Tests of outlier detection with several VMs: digests, ejections and verdicts."""

import pytest
from reporter_fleet import TARGETS, Fleet, OneOwner, healthy

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.verdict import VerdictState


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


def test_failing_target_is_ejected_on_all_vms_and_returns(fleet):
    def half(index, target_id):
        failed = target_id == "t1" and fleet.rng.random() < 0.5
        return (Outcome.ERROR if failed else Outcome.OK), 0.02

    fleet.run(5, healthy)
    fleet.run(4, half)
    assert fleet.states("t1") == {VerdictState.EJECTED}
    assert fleet.ejections() == {"t1"}
    fleet.run(40, healthy)
    assert fleet.states("t1") == {VerdictState.HEALTHY}


def test_slow_target_is_ejected(fleet):
    def slow(index, target_id):
        return Outcome.OK, 0.5 if target_id == "t2" else 0.02

    fleet.run(25, healthy)
    fleet.run(5, slow)
    assert fleet.ejections() == {"t2"}


def test_one_bad_link_ejects_nothing(fleet):
    def bad_link(index, target_id):
        failed = index == 3 and target_id == "t1"
        return (Outcome.TIMEOUT if failed else Outcome.OK), 0.02

    fleet.run(40, bad_link)
    assert fleet.ejections() == set()
    assert fleet.vms[3].verdict("ledger", "t1").weight < 0.1
    assert fleet.vms[2].verdict("ledger", "t1").weight == 1.0


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR])
def test_fault_common_to_all_targets_ejects_none(fleet, outcome):
    def common_fault(index, target_id):
        return outcome, 1.0

    fleet.run(30, healthy)
    fleet.run(20, common_fault)
    assert fleet.ejections() == set()


def test_failures_of_poison_suspects_eject_nothing(fleet):
    fleet.run(5, healthy)
    for _ in range(20):
        for vm in fleet.vms:
            vm.record("ledger", "t1", Outcome.ERROR, 0.1, poison_suspect=True)
        fleet.run(1, healthy)
    assert fleet.ejections() == set()


def test_restart_and_cold_start_eject_nothing(fleet):
    def refuses(index, target_id):
        if target_id == "t1":
            return Outcome.REFUSED_CONNECTION, 0.001
        return healthy(index, target_id)

    def cold(index, target_id):
        return Outcome.OK, 1.0 if target_id == "t1" else 0.02

    fleet.run(25, healthy)
    fleet.run(4, refuses)
    fleet.run(10, cold)
    fleet.run(10, healthy)
    assert fleet.ejections() == set()
    fleet.run(25, refuses)
    assert fleet.ejections() == {"t1"}


def test_floor_limits_ejections(fleet):
    def half_of_targets(index, target_id):
        failed = target_id in {"t0", "t1", "t2", "t3"} and fleet.rng.random() < 0.9
        return (Outcome.ERROR if failed else Outcome.OK), 0.02

    fleet.run(5, healthy)
    for _ in range(30):
        fleet.run(1, half_of_targets)
        ejected = [
            t.target_id
            for t in TARGETS
            if VerdictState.EJECTED in fleet.states(t.target_id)
        ]
        assert len(ejected) <= 3


def test_vm_without_verdicts_uses_its_local_detector(fleet):
    fleet.run(5, healthy)
    fleet.network.cut.add("vm2")

    def failing(index, target_id):
        failed = target_id == "t4" and index == 2
        return (Outcome.ERROR if failed else Outcome.OK), 0.02

    fleet.run(8, failing)
    assert fleet.vms[2].uses_local_verdicts("ledger")
    assert fleet.vms[2].verdict("ledger", "t4").state is VerdictState.EJECTED
    assert fleet.vms[1].verdict("ledger", "t4").state is VerdictState.HEALTHY


def test_ejections_are_handed_over_to_the_next_owner(fleet, clock):
    def failing(index, target_id):
        return (Outcome.ERROR if target_id == "t4" else Outcome.OK), 0.02

    fleet.run(5, failing)
    shard_count = OneOwner("vm0").shard_count
    states = [fleet.vms[0].release(number) for number in range(shard_count)]
    for vm in fleet.vms:
        vm._shards.owner_id = "vm1"
    for number, state in enumerate(states):
        fleet.vms[1].acquire(OneOwner("vm1", "vm1").owner(number), state)
    fleet.run(2, healthy)
    assert fleet.states("t4") == {VerdictState.EJECTED}


def test_draining_target_gets_no_work_from_any_vm(fleet):
    fleet.run(2, healthy)
    fleet.vms[6].record("ledger", "t3", Outcome.DRAINING, 0.001)
    assert fleet.vms[6].verdict("ledger", "t3").state is VerdictState.DRAINING
    fleet.run(2, healthy)
    assert fleet.states("t3") == {VerdictState.DRAINING}


def test_service_without_traffic_builds_no_detector(fleet):
    fleet.clock.advance(5.0)
    for vm in fleet.vms:
        vm.tick()
    assert all(vm._services["ledger"]._local_detector is None for vm in fleet.vms)
    assert not any(vm._detectors for vm in fleet.vms)
    assert not any(vm.uses_local_verdicts("ledger") for vm in fleet.vms)
