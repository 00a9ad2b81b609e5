"""Faults that break plain leases, judged by each owner's own clock, but not shards.

Each fault runs against the shard manager and against the naive lease variant.
"""

from lacewingpond.replay.base import Variant
from lacewingpond.replay.shard_simulation import ShardSimulation, ShardSimulationOptions
from lacewingpond.shards.options import ShardOptions

WAIT_S = ShardOptions().takeover_wait_s


def run(variant, fault, wait_s=WAIT_S):
    shards = ShardOptions(shard_count=16, takeover_wait_s=wait_s)
    simulation = ShardSimulation(ShardSimulationOptions(shards=shards), variant, seed=4)
    for number in range(5):
        simulation.start(f"vm{number}")
    simulation.run(30)
    fault(simulation)
    simulation.run(90)
    return simulation


def pause_owner(simulation):
    simulation.pause(simulation.owners()[0][0].vm.vm_id, 20.0)


def delist_unreachable_owner(simulation):
    owner = simulation.owners()[0][0].vm.vm_id
    for vm_id in simulation.vms:
        simulation.network.block(vm_id, owner)
    simulation.unlist(owner, 60.0)
    simulation.vms[owner].faults.list_outage = True
    simulation.run(12)
    simulation.vms[owner].faults.list_outage = False


def start_outage(simulation):
    simulation.set_outage(True)


def test_pause_gives_a_shard_two_owners_with_leases_only():
    assert run(Variant.CURRENT, pause_owner).double_owned == 0
    assert run(Variant.NAIVE, pause_owner).double_owned > 0


def test_store_outage_leaves_shards_unowned_with_leases_only():
    assert run(Variant.CURRENT, start_outage).owners().keys() == set(range(16))
    assert run(Variant.NAIVE, start_outage).owners() == {}


def test_takeover_wait_prevents_a_second_owner_beside_an_unreachable_one():
    assert run(Variant.CURRENT, delist_unreachable_owner).double_owned == 0
    assert run(Variant.CURRENT, delist_unreachable_owner, wait_s=0.0).double_owned > 0
