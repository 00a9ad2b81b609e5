"""Several health reporters on an in-memory network."""

import random

import msgspec

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

TARGETS = tuple(Target(f"t{i}", f"10.0.0.{i}:80") for i in range(6))
CFG = Config(services=(Service("ledger", TARGETS),))


def as_received(message):
    """Return `message` after encoding and decoding, as a peer receives it."""
    packed = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(packed, type=type(message))


class InMemoryNetwork:
    """Delivers messages to their handlers at once, except for VMs in `cut`."""

    def __init__(self):
        self.handlers = {}
        self.cut = set()

    def channel(self, vm_id):
        return InMemoryChannel(self, vm_id)


class InMemoryChannel:
    """One VM's channel to the others."""

    def __init__(self, network, vm_id):
        self.network, self.vm_id = network, vm_id

    def register(self, kind, handler):
        self.network.handlers[self.vm_id, kind] = handler

    def send(self, vm_id, message):
        if {vm_id, self.vm_id} & self.network.cut:
            return False
        received = as_received(message)
        self.network.handlers[vm_id, type(message)](self.vm_id, received)
        return True


class OneOwner:
    """Shard view of `vm_id` in which one VM owns all shards."""

    shard_count = 8

    def __init__(self, vm_id, owner="vm0"):
        self.vm_id, self.owner_id = vm_id, owner

    def owner(self, shard):
        return Ownership(shard, self.owner_id, "i", 1, True, 0.0)

    def active_ownership(self, shard):
        return self.owner(shard) if self.vm_id == self.owner_id else None


class Fleet:
    def __init__(self, clock, size=8, options=None):
        self.clock = clock
        self.network = InMemoryNetwork()
        self.log = RecordingDecisionLog()
        self.rng = random.Random(5)
        self.vms = [self.build(f"vm{i}", options) for i in range(size)]

    def build(self, vm_id, options):
        reporter = HealthReporter.from_options(
            options or HealthOptions(),
            ComponentContext(
                vm_id,
                self.clock,
                self.rng,
                self.network.channel(vm_id),
                OneOwner(vm_id),
                self.log,
                CountingMetrics(),
            ),
        )
        reporter.configure(CFG)
        return reporter

    def run(self, seconds, outcome_of):
        """Send 4 requests per second from each VM to each target.

        `outcome_of(index, target_id)` returns the outcome and the latency of a
        request of the VM `index`.
        """
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for index, vm in enumerate(self.vms):
                for target in TARGETS:
                    for _ in range(4):
                        outcome, latency = outcome_of(index, target.target_id)
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


def healthy(index, target_id):
    return Outcome.OK, 0.02
