"""Tests of the distribution of revisions between VMs with an in-memory store."""

import random

import gevent
import pytest
from config_helpers import first_intents, small_config

from lacewingpond.config.changes import Changes
from lacewingpond.config.confirmer import Confirmer
from lacewingpond.config.contact_times import ContactTimes
from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import SetRate, WithdrawKey
from lacewingpond.config.isolation import IsolationDetector
from lacewingpond.config.model import Config, Workspace
from lacewingpond.config.neighbours import Neighbours
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.plan import plan
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.state import ConfigState
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import VmRecord
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

STEP_S = 0.05


class FixedMembership:
    """A membership view set by the test."""

    def __init__(self, records):
        self.records = records

    def live(self):
        return self.records

    def is_reachable(self, vm_id):
        return any(vm.vm_id == vm_id for vm in self.records)


class Vm:
    def __init__(self, record, fleet):
        others = tuple(vm for vm in fleet.records if vm.vm_id != record.vm_id)
        self.record = record
        self.clock = fleet.clock
        self.store = FaultyStore(fleet.memory, fleet.clock)
        self.repository = ConfigRepository(self.store)
        self.holder = ConfigHolder()
        self.members = FixedMembership(others)
        self.log = RecordingDecisionLog()
        self.metrics = CountingMetrics()
        self.distributor = ConfigDistributor(
            record,
            self.holder,
            self.repository,
            fleet.network.channel(record.vm_id),
            self.members,
            lambda: len(others),
            fleet.options,
            fleet.clock,
            random.Random(record.vm_id),
            self.log,
            self.metrics,
        )
        self.confirmer = Confirmer(
            self.repository,
            self.holder,
            fleet.clock,
            self.log,
            self.distributor.fleet_revision,
        )
        self.distributor.start()

    def confirm(self, *intents):
        made = plan(self.holder.current, intents).unwrap()
        self.repository.save_plan(made).unwrap()
        return self.confirmer.confirm(made.plan_id)

    def logged_events(self):
        return {line[0] for line in self.log.lines}


class Fleet:
    def __init__(self, clock, size, options=None):
        self.clock = clock
        self.options = options or ConfigOptions()
        self.memory = MemoryStore(clock)
        self.network = MemoryNetwork(clock, random.Random(1))
        self.records = tuple(
            VmRecord(f"vm-{n}", f"10.0.0.{n}:1", f"domain-{n % 3}") for n in range(size)
        )
        self.vms = [Vm(record, self) for record in self.records]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.network.run_due()

    def revisions(self):
        return {vm.holder.revision for vm in self.vms}

    def cut_peers(self, *names):
        for one in self.records:
            for other in self.records:
                if (one.vm_id in names) != (other.vm_id in names):
                    self.network.block(one.vm_id, other.vm_id)

    def stop(self):
        for vm in self.vms:
            vm.distributor.stop()


@pytest.fixture
def fleet_of(clock):
    fleets = []

    def make(size, options=None):
        fleets.append(Fleet(clock, size, options))
        fleets[-1].run(2 * STEP_S)
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def test_withdrawal_reaches_vms_cut_off_from_the_store(fleet_of):
    fleet = fleet_of(8)
    fleet.vms[0].confirm(*first_intents())
    fleet.run(1.0)
    for vm in fleet.vms[6:]:
        vm.store.faults.outage = True
    fleet.vms[0].confirm(WithdrawKey("k1"))
    fleet.run(3.0)
    assert fleet.revisions() == {2}
    assert all(vm.holder.current.keys == () for vm in fleet.vms)


def test_pull_delivers_a_revision_whose_push_was_lost(fleet_of):
    fleet = fleet_of(3)
    fleet.vms[2].store.faults.outage = True
    fleet.network.block("vm-0", "vm-2")
    fleet.network.block("vm-1", "vm-2")
    fleet.vms[0].confirm(*first_intents())
    fleet.run(0.5)
    assert fleet.vms[2].holder.revision == 0
    fleet.network.unblock("vm-0", "vm-2")
    fleet.network.unblock("vm-1", "vm-2")
    fleet.run(3.0)
    assert fleet.revisions() == {1}


def test_new_vm_loads_the_configuration_from_a_peer_during_a_store_outage(fleet_of):
    fleet = fleet_of(3)
    late = fleet.vms[2]
    late.store.faults.outage = True
    fleet.cut_peers("vm-2")
    state = ConfigState.from_config(
        Config(workspaces=tuple(Workspace(f"w{n}", 1.0, 1.0) for n in range(3_000)))
    )
    state = state.with_changes(Changes(workspaces=(Workspace("last", 1.0, 1.0),)), "p1")
    state = state.with_changes(Changes(workspaces=(Workspace("more", 1.0, 1.0),)), "p2")
    for vm in fleet.vms[:2]:
        vm.store.faults.outage = True
        vm.holder.replace(state)
    for name in ("vm-0", "vm-1"):
        fleet.network.unblock(name, "vm-2")
        fleet.network.unblock("vm-2", name)
    fleet.run(2.0)
    assert late.holder.state.root == state.root
    assert len(late.holder.current.workspaces) == 3_002


def test_store_that_goes_back_reverts_no_vm_and_is_written_again(fleet_of):
    fleet = fleet_of(4)
    fleet.vms[0].confirm(*first_intents())
    snapshot = fleet.memory.snapshot()
    fleet.vms[0].confirm(WithdrawKey("k1"))
    fleet.run(1.0)
    fleet.memory.restore(snapshot)
    fleet.run(2.0)
    assert fleet.revisions() == {2}
    assert any("config-store-older" in vm.logged_events() for vm in fleet.vms)
    assert sum(vm.metrics.counters.get("config.store_older", 0) for vm in fleet.vms)
    fleet.run(10.0)
    assert fleet.revisions() == {2}
    stored = fleet.vms[0].repository.read_head().unwrap().head
    assert stored.root() == fleet.vms[3].holder.state.root
    assert fleet.vms[1].confirm(SetRate("workspace", "shop", 5.0, 5.0)).is_ok()
    fleet.run(1.0)
    assert fleet.revisions() == {3}


def test_store_outage_isolates_no_vm_and_a_partition_isolates_the_minority(fleet_of):
    fleet = fleet_of(5)
    for vm in fleet.vms:
        vm.store.faults.outage = True
    fleet.run(120.0)
    assert not any(vm.distributor.is_isolated() for vm in fleet.vms)
    for vm in fleet.vms[:3]:
        vm.store.faults.outage = False
    fleet.cut_peers("vm-3", "vm-4")
    fleet.vms[3].members.records = (fleet.records[4],)
    fleet.vms[4].members.records = (fleet.records[3],)
    fleet.run(40.0)
    isolated = [vm.distributor.is_isolated() for vm in fleet.vms]
    assert isolated == [False, False, False, True, True]
    assert "config-isolation" in fleet.vms[3].logged_events()


def test_vm_without_any_contact_is_isolated_until_the_store_responds(fleet_of):
    fleet = fleet_of(3)
    fleet.vms[2].store.faults.outage = True
    fleet.cut_peers("vm-2")
    fleet.run(14.0)
    assert not fleet.vms[2].distributor.is_isolated()
    fleet.run(3.0)
    assert fleet.vms[2].distributor.is_isolated()
    fleet.vms[2].store.faults.outage = False
    fleet.run(3.0)
    assert not fleet.vms[2].distributor.is_isolated()


def test_only_vm_of_a_fleet_is_never_isolated(clock):
    log = RecordingDecisionLog()
    alone = (
        ContactTimes(clock),
        FixedMembership(()),
        lambda: 0,
        ConfigOptions(),
        clock,
        log,
    )
    detector = IsolationDetector(*alone)
    clock.advance(3_600.0)
    assert not detector.is_isolated()


def test_different_content_under_one_revision_is_logged_as_a_fork(fleet_of):
    fleet = fleet_of(1)
    fleet.vms[0].confirm(*first_intents())
    other = ConfigState.from_config(small_config())
    stored = fleet.vms[0].repository.read_head().unwrap()
    fleet.vms[0].repository.write_head(other.head, stored.store_revision)
    fleet.run(1.0)
    assert "config-fork" in fleet.vms[0].logged_events()


def test_large_fleet_has_a_few_watchers_and_replaces_lost_ones(clock):
    options = ConfigOptions()
    records = [VmRecord(f"vm-{n}", "", f"domain-{n % 4}") for n in range(400)]

    def watchers(live):
        found = []
        for record in live:
            neighbours = Neighbours(record, options)
            neighbours.update(tuple(vm for vm in live if vm is not record))
            found += [record] * neighbours.watches
        return found

    first = watchers(records)
    assert len(first) == 4 * options.watchers_per_domain
    assert len(watchers([vm for vm in records if vm not in first])) == len(first)


def test_vms_call_the_store_at_different_times_after_an_outage(fleet_of):
    fleet = fleet_of(12)
    for vm in fleet.vms:
        vm.store.faults.outage = True
    fleet.run(30.0)
    before = sum(vm.store.counts.total for vm in fleet.vms)
    for vm in fleet.vms:
        vm.store.faults.outage = False
    gevent.sleep(0)
    fleet.run(0.2)
    calls = sum(vm.store.counts.total for vm in fleet.vms) - before
    assert calls <= 12 / 2


def large_state():
    workspaces = tuple(Workspace(f"w{n}", 1.0, 1.0) for n in range(10_000))
    return ConfigState.from_config(Config(revision=1, workspaces=workspaces))


def write_to_store(vm, state):
    vm.repository.write_chunks(state, state.head.chunks).unwrap()
    vm.repository.write_head(state.head, 0).unwrap()


def test_starting_fleet_reads_a_large_configuration_from_the_store_a_few_times(
    fleet_of,
):
    state = large_state()
    fleet = fleet_of(12)
    write_to_store(fleet.vms[0], state)
    before = sum(vm.store.counts.by_kind.get("get", 0) for vm in fleet.vms)
    fleet.run(10.0)
    assert fleet.revisions() == {1}
    reads = sum(vm.store.counts.by_kind.get("get", 0) for vm in fleet.vms) - before
    assert reads <= 12 * len(state.head.chunks) / 4


def test_late_vm_loads_a_large_configuration_from_its_peers(fleet_of):
    state = large_state()
    fleet = fleet_of(3)
    for vm in fleet.vms[:2]:
        vm.holder.replace(state)
    write_to_store(fleet.vms[0], state)
    fleet.run(4.0)
    assert fleet.vms[2].holder.revision == 1
    assert fleet.vms[2].store.counts.by_kind.get("get", 0) == 0


def test_only_vm_of_a_fleet_loads_a_large_configuration_from_the_store(fleet_of):
    fleet = fleet_of(1)
    write_to_store(fleet.vms[0], large_state())
    fleet.run(4.0)
    assert fleet.revisions() == {1}


def test_exception_in_a_step_does_not_stop_the_distribution(fleet_of):
    fleet = fleet_of(2)
    vm = fleet.vms[1]
    vm.members.live = None
    fleet.run(5.0)
    assert "config-fault" in vm.logged_events()
    vm.members = FixedMembership(vm.members.records)
    vm.distributor._membership = vm.members
    fleet.vms[0].confirm(*first_intents())
    fleet.run(5.0)
    assert fleet.revisions() == {1}


def test_catch_up_for_an_operator_does_not_wait_for_peers(fleet_of):
    vm = fleet_of(1).vms[0]
    vm.distributor.stop()
    write_to_store(vm, large_state())
    # The test's clock stands still, so a delay in catch_up() would never end.
    vm.distributor.catch_up().unwrap()
    assert vm.holder.revision == 1
