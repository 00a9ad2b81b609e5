"""Tests with random faults while operators confirm plans on random VMs.

Reported outcomes must stay true, and after the faults all VMs must have the same
revision.
"""

import random

import gevent
import pytest
from test_config_distributor import Fleet

from lacewingpond.config.confirmation import ConfirmFailure
from lacewingpond.config.intents import PutWorkspace
from lacewingpond.config.model import Workspace
from lacewingpond.config.plan import plan

VMS = 6
ROUNDS = 40
ROUND_S = 0.5
PREFIXES = ("", "config/head", "config/chunk/", "config/plan/")


class Operators:
    """Operators that confirm plans on random VMs and record the reported outcomes."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.accepted = {}
        self.refused = set()
        self.unknown = set()

    def act(self, number):
        planner, confirmer = self.rng.choices(self.fleet.vms, k=2)
        name = f"w{number % 7}"
        intent = PutWorkspace(Workspace(name, 1.0 + number, 1.0))
        made = plan(planner.holder.current, (intent,)).unwrap()
        if planner.repository.save_plan(made).is_err():
            return
        outcome = confirmer.confirmer.confirm(made.plan_id)
        self.record(made.plan_id, outcome)
        if outcome.is_err() and self.rng.random() < 0.5:
            self.record(made.plan_id, confirmer.confirmer.confirm(made.plan_id))

    def record(self, plan_id, outcome):
        self.refused.discard(plan_id)
        self.unknown.discard(plan_id)
        if outcome.is_ok():
            self.accepted[plan_id] = outcome.ok_value.revision
        elif outcome.err_value.refusal is ConfirmFailure.UNKNOWN:
            self.unknown.add(plan_id)
        else:
            self.refused.add(plan_id)


def inject_fault(fleet, rng):
    vm = rng.choice(fleet.vms)
    one, other = rng.sample([record.vm_id for record in fleet.records], 2)
    match rng.randrange(7):
        case 0:
            vm.store.faults.outage = not vm.store.faults.outage
        case 1:
            vm.store.faults.lose_answers = rng.randint(1, 6)
            vm.store.faults.lose_prefix = rng.choice(PREFIXES)
        case 2:
            vm.store.faults.delay_s = rng.choice((0.0, 0.05, 0.7))
        case 3:
            fleet.network.block(one, other)
        case 4:
            fleet.network.unblock(one, other)
        case 5:
            fleet.network.pause(one)
        case 6:
            fleet.network.resume(one)


def clear_faults(fleet):
    for vm in fleet.vms:
        vm.store.faults.outage = False
        vm.store.faults.delay_s = 0.0
        vm.store.faults.lose_answers = 0
        fleet.network.resume(vm.record.vm_id)
        for other in fleet.records:
            fleet.network.unblock(vm.record.vm_id, other.vm_id)


def run_with_faults(clock, seed, older=False):
    """Run a fleet through random faults; return the fleet and its operators.

    With `older`, the store also goes back to an earlier state.
    """
    rng = random.Random(seed)
    fleet = Fleet(clock, VMS)
    operators = Operators(fleet, rng)
    revisions = {vm.record.vm_id: 0 for vm in fleet.vms}
    snapshot = None
    for number in range(ROUNDS):
        gevent.spawn(operators.act, number)
        inject_fault(fleet, rng)
        if older and number == ROUNDS // 3:
            snapshot = fleet.memory.snapshot()
        if older and number == 2 * ROUNDS // 3:
            fleet.memory.restore(snapshot)
        fleet.run(ROUND_S)
        for vm in fleet.vms:
            assert vm.holder.revision >= revisions[vm.record.vm_id]
            revisions[vm.record.vm_id] = vm.holder.revision
    clear_faults(fleet)
    fleet.run(30.0)
    fleet.stop()
    return fleet, operators


@pytest.mark.parametrize("seed", range(25))
def test_random_faults_leave_reported_outcomes_true_and_all_vms_equal(clock, seed):
    fleet, operators = run_with_faults(clock, seed)
    assert len({vm.holder.state.root for vm in fleet.vms}) == 1
    head = fleet.vms[0].repository.read_head().unwrap().head
    assert head.root() == fleet.vms[0].holder.state.root
    assert operators.accepted
    for plan_id, revision in operators.accepted.items():
        assert head.confirmed(plan_id).revision == revision
    for plan_id in operators.refused:
        assert head.confirmed(plan_id) is None
    fresh = fleet.vms[0].repository.load(fleet.vms[0].holder.state.empty(), head)
    assert fresh.unwrap().cfg == fleet.vms[0].holder.current


@pytest.mark.parametrize("seed", range(25))
def test_store_that_goes_back_amid_faults_reverts_no_vm(clock, seed):
    fleet, operators = run_with_faults(clock, seed, older=True)
    logged_events = set().union(*(vm.logged_events() for vm in fleet.vms))
    if "config-fork" not in logged_events:
        head = fleet.vms[0].repository.read_head().unwrap().head
        assert len({vm.holder.state.root for vm in fleet.vms}) == 1
        assert all(head.confirmed(plan_id) for plan_id in operators.accepted)
