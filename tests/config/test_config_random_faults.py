"""Random faults and operators: what was said stays true, and all VMs agree at last."""

import random

import gevent
import pytest
from test_config_spread import Fleet

from lacewingpond.config.confirmation import Refusal
from lacewingpond.config.intents import PutWorkspace
from lacewingpond.config.model import Workspace
from lacewingpond.config.plan import plan

VMS = 6
ROUNDS = 40
ROUND_S = 0.5
PREFIXES = ("", "config/head", "config/chunk/", "config/plan/")


class Operators:
    """Operators that confirm plans on any VM and note what they were told."""

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
        told = confirmer.confirmer.confirm(made.plan_id)
        self.note(made.plan_id, told)
        if told.is_err() and self.rng.random() < 0.5:
            self.note(made.plan_id, confirmer.confirmer.confirm(made.plan_id))

    def note(self, plan_id, told):
        self.refused.discard(plan_id)
        self.unknown.discard(plan_id)
        if told.is_ok():
            self.accepted[plan_id] = told.ok_value.revision
        elif told.err_value.refusal is Refusal.UNKNOWN:
            self.unknown.add(plan_id)
        else:
            self.refused.add(plan_id)


def play_fault(fleet, rng):
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


def heal(fleet):
    for vm in fleet.vms:
        vm.store.faults.outage = False
        vm.store.faults.delay_s = 0.0
        vm.store.faults.lose_answers = 0
        fleet.network.resume(vm.record.vm_id)
        for other in fleet.records:
            fleet.network.unblock(vm.record.vm_id, other.vm_id)


def play(clock, seed, older=False):
    """Run a fleet through faults; return it with what its operators were told."""
    rng = random.Random(seed)
    fleet = Fleet(clock, VMS)
    operators = Operators(fleet, rng)
    revisions = {vm.record.vm_id: 0 for vm in fleet.vms}
    image = None
    for number in range(ROUNDS):
        gevent.spawn(operators.act, number)
        play_fault(fleet, rng)
        if older and number == ROUNDS // 3:
            image = fleet.memory.image()
        if older and number == 2 * ROUNDS // 3:
            fleet.memory.restore(image)
        fleet.run(ROUND_S)
        for vm in fleet.vms:
            assert vm.holder.revision >= revisions[vm.record.vm_id]
            revisions[vm.record.vm_id] = vm.holder.revision
    heal(fleet)
    fleet.run(30.0)
    fleet.stop()
    return fleet, operators


@pytest.mark.parametrize("seed", range(25))
def test_what_operators_were_told_is_true_and_all_vms_agree(clock, seed):
    fleet, operators = play(clock, seed)
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
    fleet, operators = play(clock, seed, older=True)
    decided = set().union(*(vm.decided() for vm in fleet.vms))
    if "config-fork" not in decided:
        head = fleet.vms[0].repository.read_head().unwrap().head
        assert len({vm.holder.state.root for vm in fleet.vms}) == 1
        assert all(head.confirmed(plan_id) for plan_id in operators.accepted)
