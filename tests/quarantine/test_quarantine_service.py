"""Tests that only requests that crash targets are quarantined, on all VMs."""

import random

from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.quarantine.fingerprint import fingerprint
from lacewingpond.quarantine.options import QuarantineOptions
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.store.base import VmRecord
from lacewingpond.util.clock import ManualClock

VMS = ("vm0", "vm1", "vm2", "vm3")


class Members:
    def live(self):
        return tuple(VmRecord(vm, "", "") for vm in VMS)

    def is_reachable(self, vm_id):
        return True


class Fleet:
    def __init__(self):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, random.Random(1))
        table = FakeShardTable(8, VMS, self.clock)
        self.vms = []
        for vm in VMS:
            service = QuarantineService.from_options(
                QuarantineOptions(),
                ComponentContext.unlogged(
                    vm,
                    self.clock,
                    random.Random(1),
                    self.network.channel(vm),
                    table.view(vm),
                ),
                Members(),
            )
            for shard in table.shards_of(vm):
                service.acquire(table.owners[shard], None)
            self.vms.append(service)

    def crash(self, vm, request, target):
        self.vms[vm].note_crashed(request, "book", target)
        self.network.run_due()

    def complete(self, vm, request):
        self.vms[vm].note_completed(request, "book")
        self.network.run_due()

    def refused(self, request):
        return [vm.quarantined_s(request) > 0 for vm in self.vms]


def test_second_crash_quarantines_a_request_on_all_vms_for_a_time():
    fleet = Fleet()
    fleet.crash(0, "poison", "t1")
    assert not any(fleet.refused("poison"))
    fleet.clock.advance(20.0)
    fleet.crash(3, "poison", "t2")
    assert all(fleet.refused("poison"))
    fleet.clock.advance(601.0)
    assert not any(fleet.refused("poison"))


def test_crash_reported_by_several_vms_counts_once():
    fleet = Fleet()
    for vm in range(4):
        fleet.crash(vm, "popular", "t1")
    assert not any(fleet.refused("popular"))


def test_complete_response_clears_a_suspect():
    fleet = Fleet()
    for target in ("t1", "t2", "t3"):
        fleet.crash(0, "innocent", target)
        fleet.complete(0, "innocent")
    assert not any(fleet.refused("innocent"))


def test_loss_of_a_failure_domain_quarantines_no_request():
    fleet = Fleet()
    rng = random.Random(7)
    for number in range(2000):
        fleet.complete(number % 4, f"before{number}")
    victims = [f"request{number}" for number in range(400)]
    for _ in range(2):
        for victim in victims:
            vm, target = rng.randrange(4), f"t{rng.randrange(60)}"
            fleet.crash(vm, victim, target)
        fleet.clock.advance(6.0)
    wrong = [victim for victim in victims if any(fleet.refused(victim))]
    assert wrong == []


def test_fingerprint_differs_by_body_and_by_workspace():
    same = fingerprint("a", "r", "POST", "/x", b"1")
    assert same == fingerprint("a", "r", "POST", "/x", b"1")
    assert same != fingerprint("a", "r", "POST", "/x", b"2")
    assert same != fingerprint("b", "r", "POST", "/x", b"1")
