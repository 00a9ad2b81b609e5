"""The same faults break leases that each owner judges by its own clock."""

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_world import ShardWorld, WorldOptions
from lacewingpond.shards.options import ShardOptions

WAIT_S = ShardOptions().takeover_wait_s


def run(variant, fault, wait_s=WAIT_S):
    shards = ShardOptions(shard_count=16, takeover_wait_s=wait_s)
    world = ShardWorld(WorldOptions(shards=shards), variant, seed=4)
    for number in range(5):
        world.start(f"vm{number}")
    world.run(30)
    fault(world)
    world.run(90)
    return world


def pause_owner(world):
    world.pause(world.owners()[0][0].vm.vm_id, 20.0)


def unlist_deaf_owner(world):
    owner = world.owners()[0][0].vm.vm_id
    for vm_id in world.vms:
        world.network.block(vm_id, owner)
    world.unlist(owner, 60.0)
    world.vms[owner].faults.list_outage = True
    world.run(12)
    world.vms[owner].faults.list_outage = False


def long_outage(world):
    world.set_outage(True)


def test_pause_breaks_leases_only():
    assert run(Variant.CURRENT, pause_owner).double_owned == 0
    assert run(Variant.NAIVE, pause_owner).double_owned > 0


def test_outage_leaves_leases_without_owners():
    assert run(Variant.CURRENT, long_outage).owners().keys() == set(range(16))
    assert run(Variant.NAIVE, long_outage).owners() == {}


def test_take_over_without_a_wait_breaks_for_an_owner_that_hears_nobody():
    assert run(Variant.CURRENT, unlist_deaf_owner).double_owned == 0
    assert run(Variant.CURRENT, unlist_deaf_owner, wait_s=0.0).double_owned > 0
