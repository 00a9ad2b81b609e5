"""Tests of the shard manager with a few VMs, a platform and its faults."""

from functools import partial

import pytest

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_world import ShardWorld, WorldOptions
from lacewingpond.shards.handover import HandOverReport
from lacewingpond.shards.options import ShardOptions

SHARDS = 16
WAIT_S = ShardOptions().takeover_wait_s


def make_world(count=5, seed=1, **options):
    shards = ShardOptions(shard_count=SHARDS, rebalance_s=1e9)
    options = WorldOptions(shards=shards, **options)
    world = ShardWorld(options, Variant.CURRENT, seed)
    for number in range(count):
        world.start(f"vm{number}")
    world.run(30)
    return world


def owner_ids(world):
    return {shard: [vm.vm.vm_id for vm in vms] for shard, vms in world.owners().items()}


def owned_by(world, vm_id):
    return [shard for shard, ids in owner_ids(world).items() if ids == [vm_id]]


def biggest(world):
    return max(world.vms, key=lambda vm_id: len(owned_by(world, vm_id)))


def assert_all_owned_once(world):
    assert sorted(owner_ids(world)) == list(range(SHARDS))
    assert world.double_owned == 0


def test_free_shards_are_claimed_by_one_write():
    world = make_world()
    assert_all_owned_once(world)
    assert world.store_writes() == 1
    assert len({ids[0] for ids in owner_ids(world).values()}) >= 4


def test_no_writes_while_nothing_changes_and_through_an_outage():
    world = make_world()
    writes = world.store_writes()
    world.set_outage(True)
    world.run(600)
    assert_all_owned_once(world)
    assert world.store_writes() == writes


def test_planned_stop_moves_all_shards_with_their_state_by_one_write():
    world = make_world()
    leaver = biggest(world)
    writes = world.store_writes()
    count = len(owned_by(world, leaver))
    world.stop(leaver)
    world.run(2)
    assert leaver not in world.vms
    assert world.reports == [HandOverReport(count, 0, 0)]
    assert_all_owned_once(world)
    assert (world.truth.lost, world.truth.unclean) == (0, 0)
    assert world.store_writes() == writes + 1


def test_planned_stop_while_the_store_is_away_hands_over_when_it_is_back():
    world = make_world()
    leaver = biggest(world)
    count = len(owned_by(world, leaver))
    world.set_outage(True)
    world.stop(leaver, grace_s=20.0)
    world.run(15)
    assert len(owned_by(world, leaver)) == count
    world.run(60)
    assert world.reports == [HandOverReport(0, count, 0)]
    assert len(owner_ids(world)) == SHARDS - count
    world.set_outage(False)
    world.run(10)
    assert_all_owned_once(world)
    assert (world.truth.lost, world.truth.unclean) == (0, 0)


def test_crashed_owner_is_replaced_only_after_the_wait():
    world = make_world()
    victim = biggest(world)
    count = len(owned_by(world, victim))
    world.crash(victim)
    world.run(WAIT_S)
    assert len(owner_ids(world)) == SHARDS - count
    world.run(25)
    assert_all_owned_once(world)
    assert world.truth.unclean == count


def test_restarted_process_takes_its_shards_back_without_the_wait():
    world = make_world()
    victim = biggest(world)
    count = len(owned_by(world, victim))
    world.crash(victim)
    world.start(victim)
    world.run(10)
    assert_all_owned_once(world)
    assert len(owned_by(world, victim)) == count
    assert world.truth.unclean == count


@pytest.mark.parametrize("seconds", [3.0, 15.0, 60.0, 300.0])
def test_paused_owner_stops_owning_at_its_first_look(seconds):
    world = make_world()
    victim = biggest(world)
    world.pause(victim, seconds)
    world.run(seconds + 60)
    assert_all_owned_once(world)


@pytest.mark.parametrize("seconds", [1.0, 10.0, 25.0, 120.0])
def test_running_owner_that_the_platform_drops_stops_before_it_is_replaced(seconds):
    world = make_world()
    victim = biggest(world)
    world.unlist(victim, seconds)
    world.run(seconds + 60)
    assert_all_owned_once(world)


def test_lost_answer_of_the_claim_is_read_back():
    world = make_world()
    victim = biggest(world)
    for vm in world.vms.values():
        vm.faults.lose_answers = 1
    world.crash(victim)
    world.run(WAIT_S + 30)
    assert_all_owned_once(world)


def test_lost_answer_at_a_planned_stop_loses_no_state():
    world = make_world()
    leaver = biggest(world)
    world.vms[leaver].faults.lose_answers = 1
    world.stop(leaver)
    world.run(5)
    assert_all_owned_once(world)
    assert (world.truth.lost, world.truth.unclean) == (0, 0)


def test_rolling_restart_keeps_all_state():
    world = make_world()
    for vm_id in list(world.vms):
        world.stop(vm_id)
        world.run(5)
        world.start(vm_id)
        world.run(10)
    assert_all_owned_once(world)
    assert (world.truth.lost, world.truth.unclean) == (0, 0)


def test_table_that_came_back_older_is_written_anew():
    world = make_world()
    image = world.store.image()
    leaver = biggest(world)
    world.stop(leaver)
    world.run(5)
    world.store.restore(image)
    world.run(30)
    world.crash(biggest(world))
    world.run(WAIT_S + 30)
    assert_all_owned_once(world)


def test_shards_move_to_a_new_vm_in_time():
    shards = ShardOptions(shard_count=SHARDS, rebalance_s=10.0)
    world = ShardWorld(WorldOptions(shards=shards), Variant.CURRENT, 3)
    world.start("vm0")
    world.run(20)
    for number in range(1, 5):
        world.start(f"vm{number}")
    world.run(120)
    assert_all_owned_once(world)
    assert len(owned_by(world, "vm0")) < SHARDS // 2
    assert (world.truth.lost, world.truth.unclean) == (0, 0)


def test_take_over_decided_before_the_owner_was_listed_again_fails():
    world = make_world(drop_after_s=1e9)
    victim = biggest(world)
    owner = world.vms[victim]

    def listed_again(stand_still):
        owner.unlisted_until = world.clock.now()
        stand_still()

    for vm_id in world.vms:
        if vm_id != victim:
            world.pause_in_call(vm_id, 120.0, before=True)
            hooks = world.vms[vm_id].store.before
            hooks["put_if"] = partial(listed_again, hooks["put_if"])
            world.network.block(vm_id, victim)
    world.unlist(victim, 600.0)
    world.run(240)
    assert owner.unlisted_until < world.clock.now()
    assert_all_owned_once(world)
