"""Several reporters on a wire in memory, for tests of health."""

import random

import msgspec

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.part_context import PartContext
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

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
            PartContext(
                vm_id,
                self.clock,
                self.rng,
                self.wire.channel(vm_id),
                OneOwner(vm_id),
                self.log,
                CountingMetrics(),
            ),
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


def healthy(index, target_id):
    return Outcome.OK, 0.02
