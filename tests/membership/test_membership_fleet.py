"""Tests of the membership, with many VMs in one process."""

import random

from msgspec import Struct
from result import Err, Ok

from lacewingpond.membership.membership import Membership
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.store.base import StoreError, StoreFailure, VmRecord, VmState
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog


class FixedList(Struct):
    vms: dict[str, VmRecord]
    away: bool = False

    def read(self):
        if self.away:
            return Err(StoreError(StoreFailure.UNAVAILABLE))
        return Ok(tuple(self.vms.values()))


class Fleet:
    def __init__(self, clock, count, domains=3):
        self.clock = clock
        self.network = MemoryNetwork(clock, random.Random(2))
        self.list = FixedList({})
        self.members = {}
        for number in range(count):
            self.add(f"vm{number}", f"fd{number % domains}")

    def add(self, vm_id, domain):
        vm = VmRecord(vm_id, f"10.0.0.1:{len(self.members)}", domain, "r1")
        self.list.vms[vm_id] = vm
        self.members[vm_id] = Membership.from_options(
            MembershipOptions(),
            vm,
            self.list,
            self.network.channel(vm_id),
            self.clock,
            random.Random(vm_id),
            NullDecisionLog(),
            CountingMetrics(),
        )

    def crash(self, vm_id):
        self.network.crash(vm_id)
        del self.members[vm_id]

    def run(self, seconds):
        for _ in range(seconds):
            self.clock.advance(1.0)
            tick = int(self.clock.now())
            for member in list(self.members.values()):
                self.network.run_due()
                member.probe()
                if tick % 2 == 0:
                    member.refresh_list()
                if tick % 4 == 0:
                    member.pull()
            self.network.run_due()

    def live_on(self, vm_id):
        return {
            name for name, member in self.members.items() if vm_id in member.live_ids()
        }


def test_all_vms_know_each_other_and_only_readers_read_the_list(clock):
    fleet = Fleet(clock, 30)
    fleet.run(12)
    assert all(len(m.live()) == 29 for m in fleet.members.values())
    before = sum(m.list_reads for m in fleet.members.values())
    fleet.run(40)
    reads = sum(m.list_reads for m in fleet.members.values()) - before
    assert reads == 3 * 2 * 20


def test_crashed_vm_is_suspected_within_four_seconds(clock):
    fleet = Fleet(clock, 30)
    fleet.run(12)
    fleet.crash("vm7")
    fleet.run(4)
    assert fleet.live_on("vm7") == set()


def test_vm_reachable_through_others_stays_live_in_a_one_way_partition(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    for name in list(fleet.members)[:6]:
        if name != "vm8":
            fleet.network.block(name, "vm8")
    fleet.run(20)
    assert len(fleet.live_on("vm8")) == 11
    assert any(not m.is_reachable("vm8") for m in fleet.members.values())


def test_vm_that_receives_nothing_suspects_no_other_vm(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    for name in fleet.members:
        fleet.network.block(name, "vm8")
    fleet.run(20)
    assert len(fleet.members["vm8"].live()) == 11
    assert not fleet.members["vm8"].has_peer_contact()
    assert fleet.members["vm7"].has_peer_contact()
    for name in fleet.members:
        fleet.network.unblock(name, "vm8")
    fleet.run(8)
    assert len(fleet.live_on("vm8")) == 11


def test_announced_leaving_reaches_most_vms_at_once_and_all_soon(clock):
    fleet = Fleet(clock, 40)
    fleet.run(12)
    fleet.members["vm3"].announce_leaving()
    fleet.network.run_due()
    assert len(fleet.live_on("vm3")) <= 2
    fleet.run(4)
    assert fleet.live_on("vm3") == set()


def test_vm_listed_as_leaving_is_not_live(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    vm = fleet.list.vms["vm3"]
    leaving = VmRecord(vm.vm_id, vm.address, "fd0", "r1", VmState.LEAVING)
    fleet.list.vms["vm3"] = leaving
    fleet.run(4)
    assert fleet.live_on("vm3") == set()


def test_vm_restarted_after_it_announced_leaving_is_live_again(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    fleet.members["vm3"].announce_leaving()
    fleet.run(2)
    fleet.add("vm3", "fd0")
    fleet.run(10)
    assert len(fleet.live_on("vm3")) == 11


def test_vm_removed_from_the_list_learns_it_and_is_live_when_listed_again(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    vm = fleet.list.vms.pop("vm3")
    fleet.run(8)
    assert fleet.members["vm3"].is_delisted()
    fleet.list.vms["vm3"] = vm
    fleet.run(8)
    assert not fleet.members["vm3"].is_delisted()
    assert len(fleet.live_on("vm3")) == 11


def test_list_outage_keeps_the_view_and_reads_back_off(clock):
    fleet = Fleet(clock, 40)
    fleet.run(12)
    fleet.list.away = True
    before = sum(m.list_reads for m in fleet.members.values())
    fleet.run(600)
    reads = sum(m.list_reads for m in fleet.members.values()) - before
    assert all(len(m.live()) == 39 for m in fleet.members.values())
    readers, others = 6, 34
    assert reads <= readers * 300 + others * 12


def test_joining_vm_learns_all_vms_from_a_peer_during_a_list_outage(clock):
    fleet = Fleet(clock, 12)
    fleet.run(12)
    member = fleet.members["vm3"]
    fleet.add("vm3", "fd0")
    fresh = fleet.members["vm3"]
    fresh.refresh_list()
    fleet.list.away = True
    fleet.run(5)
    assert fresh is not member
    assert len(fresh.live()) == 11


def test_table_keeps_at_most_max_vms_records(clock):
    fleet = Fleet(clock, 1)
    member = fleet.members["vm0"]
    for number in range(9_000):
        fleet.list.vms[f"x{number}"] = VmRecord(f"x{number}", "10.0.0.2:1", "fd1", "r1")
    member.refresh_list()
    assert len(member.live()) <= MembershipOptions().max_vms


def test_longer_list_is_read_less_often_and_stays_fresh(clock, monkeypatch):
    options = MembershipOptions(list_bytes_per_s=80 * 60 / 20, list_max_age_s=25.0)
    monkeypatch.setattr(f"{__name__}.MembershipOptions", lambda: options)
    fleet = Fleet(clock, 60, domains=10)
    fleet.run(60)
    before = sum(m.list_reads for m in fleet.members.values())
    fleet.run(60)
    reads = sum(m.list_reads for m in fleet.members.values()) - before
    assert reads <= 20 * 60 / 10
    assert max(m.list_age_s() for m in fleet.members.values()) <= 25.0
