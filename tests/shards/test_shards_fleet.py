"""Tests of the shard manager on a few simulated VMs, with faults of the platform."""

from functools import partial

import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_simulation import ShardSimulation, ShardSimulationOptions
from lacewingpond.shards.handover import HandoverReport
from lacewingpond.shards.options import ShardOptions

SHARDS = 16
WAIT_S = ShardOptions().takeover_wait_s


def make_simulation(count=5, seed=1, **options):
    shards = ShardOptions(shard_count=SHARDS, rebalance_s=1e9)
    options = ShardSimulationOptions(shards=shards, **options)
    simulation = ShardSimulation(options, Variant.CURRENT, seed)
    for number in range(count):
        simulation.start(f"vm{number}")
    simulation.run(30)
    return simulation


def owner_ids(simulation):
    return {
        shard: [vm.vm.vm_id for vm in vms] for shard, vms in simulation.owners().items()
    }


def owned_by(simulation, vm_id):
    return [shard for shard, ids in owner_ids(simulation).items() if ids == [vm_id]]


def largest_owner(simulation):
    return max(simulation.vms, key=lambda vm_id: len(owned_by(simulation, vm_id)))


def assert_all_owned_once(simulation):
    assert sorted(owner_ids(simulation)) == list(range(SHARDS))
    assert simulation.double_owned == 0


def test_free_shards_are_claimed_in_one_write():
    simulation = make_simulation()
    assert_all_owned_once(simulation)
    assert simulation.store_writes() == 1
    assert len({ids[0] for ids in owner_ids(simulation).values()}) >= 4


def test_ownership_survives_a_store_outage_without_writes():
    simulation = make_simulation()
    writes = simulation.store_writes()
    simulation.set_outage(True)
    simulation.run(600)
    assert_all_owned_once(simulation)
    assert simulation.store_writes() == writes


def test_planned_stop_hands_over_all_shards_and_states_in_one_write():
    simulation = make_simulation()
    leaver = largest_owner(simulation)
    writes = simulation.store_writes()
    count = len(owned_by(simulation, leaver))
    simulation.stop(leaver)
    simulation.run(2)
    assert leaver not in simulation.vms
    assert simulation.reports == [HandoverReport(count, 0, 0)]
    assert_all_owned_once(simulation)
    assert (simulation.truth.lost, simulation.truth.unclean_takeovers) == (0, 0)
    assert simulation.store_writes() == writes + 1


def test_planned_stop_during_a_store_outage_is_completed_after_it():
    simulation = make_simulation()
    leaver = largest_owner(simulation)
    count = len(owned_by(simulation, leaver))
    simulation.set_outage(True)
    simulation.stop(leaver, grace_s=20.0)
    simulation.run(15)
    assert len(owned_by(simulation, leaver)) == count
    simulation.run(60)
    assert simulation.reports == [HandoverReport(0, count, 0)]
    assert len(owner_ids(simulation)) == SHARDS - count
    simulation.set_outage(False)
    simulation.run(10)
    assert_all_owned_once(simulation)
    assert (simulation.truth.lost, simulation.truth.unclean_takeovers) == (0, 0)


def test_crashed_owner_is_replaced_only_after_the_takeover_wait():
    simulation = make_simulation()
    victim = largest_owner(simulation)
    count = len(owned_by(simulation, victim))
    simulation.crash(victim)
    simulation.run(WAIT_S)
    assert len(owner_ids(simulation)) == SHARDS - count
    simulation.run(25)
    assert_all_owned_once(simulation)
    assert simulation.truth.unclean_takeovers == count


def test_restarted_process_takes_its_shards_back_without_the_takeover_wait():
    simulation = make_simulation()
    victim = largest_owner(simulation)
    count = len(owned_by(simulation, victim))
    simulation.crash(victim)
    simulation.start(victim)
    simulation.run(10)
    assert_all_owned_once(simulation)
    assert len(owned_by(simulation, victim)) == count
    assert simulation.truth.unclean_takeovers == count


@pytest.mark.parametrize("seconds", [3.0, 15.0, 60.0, 300.0])
def test_paused_owner_stops_owning_when_it_resumes(seconds):
    simulation = make_simulation()
    victim = largest_owner(simulation)
    simulation.pause(victim, seconds)
    simulation.run(seconds + 60)
    assert_all_owned_once(simulation)


@pytest.mark.parametrize("seconds", [1.0, 10.0, 25.0, 120.0])
def test_running_owner_missing_from_the_vm_list_stops_before_it_is_replaced(seconds):
    simulation = make_simulation()
    victim = largest_owner(simulation)
    simulation.unlist(victim, seconds)
    simulation.run(seconds + 60)
    assert_all_owned_once(simulation)


def test_claim_whose_answer_is_lost_is_read_back():
    simulation = make_simulation()
    victim = largest_owner(simulation)
    for vm in simulation.vms.values():
        vm.faults.lose_answers = 1
    simulation.crash(victim)
    simulation.run(WAIT_S + 30)
    assert_all_owned_once(simulation)


def test_planned_stop_with_a_lost_store_answer_keeps_all_state():
    simulation = make_simulation()
    leaver = largest_owner(simulation)
    simulation.vms[leaver].faults.lose_answers = 1
    simulation.stop(leaver)
    simulation.run(5)
    assert_all_owned_once(simulation)
    assert (simulation.truth.lost, simulation.truth.unclean_takeovers) == (0, 0)


def test_rolling_restart_keeps_all_state():
    simulation = make_simulation()
    for vm_id in list(simulation.vms):
        simulation.stop(vm_id)
        simulation.run(5)
        simulation.start(vm_id)
        simulation.run(10)
    assert_all_owned_once(simulation)
    assert (simulation.truth.lost, simulation.truth.unclean_takeovers) == (0, 0)


def test_stored_table_restored_to_an_older_version_is_overwritten():
    simulation = make_simulation()
    snapshot = simulation.store.snapshot()
    leaver = largest_owner(simulation)
    simulation.stop(leaver)
    simulation.run(5)
    simulation.store.restore(snapshot)
    simulation.run(30)
    simulation.crash(largest_owner(simulation))
    simulation.run(WAIT_S + 30)
    assert_all_owned_once(simulation)


def test_rebalancing_moves_shards_to_new_vms_with_their_state():
    shards = ShardOptions(shard_count=SHARDS, rebalance_s=10.0)
    simulation = ShardSimulation(
        ShardSimulationOptions(shards=shards), Variant.CURRENT, 3
    )
    simulation.start("vm0")
    simulation.run(20)
    for number in range(1, 5):
        simulation.start(f"vm{number}")
    simulation.run(120)
    assert_all_owned_once(simulation)
    assert len(owned_by(simulation, "vm0")) < SHARDS // 2
    assert (simulation.truth.lost, simulation.truth.unclean_takeovers) == (0, 0)


def test_takeover_decided_before_the_owner_was_listed_again_fails():
    """Pauses each claimer before its write, while the owner is listed again.

    The owner then writes the table to become valid again, so that the delayed write
    of the takeover must fail its compare-and-swap.
    """
    simulation = make_simulation(drop_after_s=1e9)
    victim = largest_owner(simulation)
    owner = simulation.vms[victim]

    def list_again_and_pause(pause):
        owner.unlisted_until = simulation.clock.now()
        pause()

    for vm_id in simulation.vms:
        if vm_id != victim:
            simulation.pause_in_call(vm_id, 120.0, before=True)
            hooks = simulation.vms[vm_id].store.before
            hooks["put_if"] = partial(list_again_and_pause, hooks["put_if"])
            simulation.network.block(vm_id, victim)
    simulation.unlist(victim, 600.0)
    simulation.run(240)
    assert owner.unlisted_until < simulation.clock.now()
    assert_all_owned_once(simulation)
