"""Tests of reporting, judging and applying verdicts between several VMs."""

import random

import msgspec
import pytest

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.health.verdict import VerdictState
from lacewingpond.shards.base import Ownership
from lacewingpond.telemetry.decisions import RecordingDecisionLog
from lacewingpond.telemetry.metrics import CountingMetrics

TARGETS = tuple(Target(f"t{i}", f"10.0.0.{i}:80") for i in range(6))
CFG = Config(services=(Service("ledger", TARGETS),))


def as_received(message):
    """Return `message` with the plain values that arrive over a stream."""
    packed = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(packed, type=type(message))


class Wire:
    """Hands messages to their handlers at once, but for cut VMs."""

    def __init__(self):
        self.handlers = {}
        self.cut = set()

    def channel(self, vm_id):
        return WireChannel(self, vm_id)


class WireChannel:
    def __init__(self, wire, vm_id):
        self.wire, self.vm_id = wire, vm_id

    def register(self, kind, handler):
        self.wire.handlers[self.vm_id, kind] = handler

    def send(self, vm_id, message):
        if {vm_id, self.vm_id} & self.wire.cut:
            return False
        received = as_received(message)
        self.wire.handlers[vm_id, type(message)](self.vm_id, received)
        return True


class OneOwner:
    """All shards belong to one VM."""

    shard_count = 8

    def __init__(self, vm_id, owner="vm0"):
        self.vm_id, self.name = vm_id, owner

    def owner(self, shard):
        return Ownership(shard, self.name, "i", 1, True, 0.0)

    def owned(self, shard):
        return self.owner(shard) if self.vm_id == self.name else None


class Fleet:
    def __init__(self, clock, size=8, options=None):
        self.clock = clock
        self.wire = Wire()
        self.log = RecordingDecisionLog()
        self.rng = random.Random(5)
        self.vms = [self.build(f"vm{i}", options) for i in range(size)]

    def build(self, vm_id, options):
        reporter = HealthReporter.from_options(
            options or HealthOptions(),
            vm_id,
            self.clock,
            self.rng,
            self.wire.channel(vm_id),
            OneOwner(vm_id),
            self.log,
            CountingMetrics(),
        )
        reporter.configure(CFG)
        return reporter

    def run(self, seconds, fate):
        """Send 4 requests a second from each VM to each target."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for index, vm in enumerate(self.vms):
                for target in TARGETS:
                    for _ in range(4):
                        outcome, latency = fate(index, target.target_id)
                        vm.record("ledger", target.target_id, outcome, latency)
            for vm in reversed(self.vms):
                vm.tick()

    def states(self, target_id):
        return {vm.verdict("ledger", target_id).state for vm in self.vms}

    def ejections(self):
        return {
            which
            for what, which, why, _ in self.log.lines
            if what == "health" and "ejected:" in why
        }


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


def healthy(index, target_id):
    return Outcome.OK, 0.02


def test_failing_target_is_ejected_everywhere_and_returns(fleet):
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
def test_trouble_of_all_targets_ejects_none(fleet, outcome):
    def trouble(index, target_id):
        return outcome, 1.0

    fleet.run(30, healthy)
    fleet.run(20, trouble)
    assert fleet.ejections() == set()


def test_poison_requests_do_not_count(fleet):
    fleet.run(5, healthy)
    for _ in range(20):
        for vm in fleet.vms:
            vm.record("ledger", "t1", Outcome.ERROR, 0.1, poison_suspect=True)
        fleet.run(1, healthy)
    assert fleet.ejections() == set()


def test_a_restart_and_its_cold_start_eject_nothing(fleet):
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
        out = [
            t.target_id
            for t in TARGETS
            if VerdictState.EJECTED in fleet.states(t.target_id)
        ]
        assert len(out) <= 3


def test_vm_without_judge_judges_alone(fleet):
    fleet.run(5, healthy)
    fleet.wire.cut.add("vm2")

    def dead(index, target_id):
        failed = target_id == "t4" and index == 2
        return (Outcome.ERROR if failed else Outcome.OK), 0.02

    fleet.run(8, dead)
    assert fleet.vms[2].is_alone("ledger")
    assert fleet.vms[2].verdict("ledger", "t4").state is VerdictState.EJECTED
    assert fleet.vms[1].verdict("ledger", "t4").state is VerdictState.HEALTHY


def test_ejections_are_handed_over(fleet, clock):
    def dead(index, target_id):
        return (Outcome.ERROR if target_id == "t4" else Outcome.OK), 0.02

    fleet.run(5, dead)
    shard = OneOwner("vm0").shard_count
    states = [fleet.vms[0].release(number) for number in range(shard)]
    for vm in fleet.vms:
        vm._shards.name = "vm1"
    for number, state in enumerate(states):
        fleet.vms[1].adopt(OneOwner("vm1", "vm1").owner(number), state)
    fleet.run(2, healthy)
    assert fleet.states("t4") == {VerdictState.EJECTED}


def test_target_that_drains_gets_no_work_from_any_vm(fleet):
    fleet.run(2, healthy)
    fleet.vms[6].record("ledger", "t3", Outcome.DRAINING, 0.001)
    assert fleet.vms[6].verdict("ledger", "t3").state is VerdictState.DRAINING
    fleet.run(2, healthy)
    assert fleet.states("t3") == {VerdictState.DRAINING}
