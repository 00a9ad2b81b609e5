"""A fleet of limiters whose messages, clocks and faults are controlled by the test."""

import random

import gevent
from gevent.event import Event

from lacewingpond.limits.messages import GrantAsk
from lacewingpond.limits.options import LimitOptions
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.clock import ManualClock

OPTIONS = LimitOptions(max_clock_drift=0.05, config_spread_s=3.0)


class VmClock:
    """The clock of one VM; it drifts, and sleeps do not end while the VM is paused."""

    def __init__(self, base, factor):
        self.base = base
        self.factor = factor
        self.running = Event()
        self.running.set()

    def now(self):
        return self.base.now() * self.factor

    def wall(self):
        return self.base.wall()

    def sleep(self, seconds):
        self.base.sleep(seconds / self.factor)
        self.running.wait()


class ScriptedChannel:
    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, vm, message):
        self.fleet.in_flight.append((self.vm, vm, message))
        return True


class ScriptedFleet:
    def __init__(self, limiter_class, cfg, count=4, shard_count=8):
        self.base = ManualClock()
        self.limiter_class = limiter_class
        self.vms = tuple(f"vm{number}" for number in range(count))
        self.table = FakeShardTable(shard_count, self.vms, self.base)
        self.in_flight = []
        self.admitted = {}
        self.clocks, self.channels, self.limiters = {}, {}, {}
        self.starts = 0
        for vm in self.vms:
            self.start(vm, cfg)
            for shard in self.table.shards_of(vm):
                self.limiters[vm].acquire(self.table.owners[shard], None)

    def start(self, vm, cfg):
        drift = OPTIONS.max_clock_drift
        factor = (1.0 - drift, 1.0 + drift, 1.0)[self.starts % 3]
        self.starts += 1
        self.clocks[vm] = VmClock(self.base, factor)
        self.channels[vm] = ScriptedChannel(self, vm)
        self.limiters[vm] = self.limiter_class.from_options(
            OPTIONS,
            ComponentContext.unlogged(
                vm,
                self.clocks[vm],
                random.Random(self.starts),
                self.channels[vm],
                self.table.view(vm),
            ),
        )
        self.limiters[vm].configure(cfg)

    def is_running(self, vm):
        return self.clocks[vm].running.is_set()

    def request(self, vm, bucket_id):
        if self.is_running(vm):
            gevent.spawn(self._request, vm, bucket_id)
            self.settle()

    def _request(self, vm, bucket_id):
        if self.limiters[vm].admit((bucket_id,)).admitted:
            self.admitted.setdefault(bucket_id, []).append(self.base.now())

    def deliver(self, index, again=False):
        sender, receiver, message = self.in_flight[index]
        if not self.is_running(receiver):
            return
        if not again:
            del self.in_flight[index]
        self.channels[receiver].handlers[type(message)](sender, message)
        self.settle()

    def deliver_all(self):
        for _ in range(len(self.in_flight)):
            waiting = [e for e in self.in_flight if self.is_running(e[1])]
            if not waiting:
                return
            self.deliver(self.in_flight.index(waiting[0]))

    def deliver_asks(self):
        """Deliver grant requests; the answers stay in flight."""
        for envelope in list(self.in_flight):
            if isinstance(envelope[2], GrantAsk):
                self.deliver(self.in_flight.index(envelope))

    def rush(self, bucket_id, count):
        """Send `count` requests to every running VM and deliver the messages."""
        for vm in self.vms:
            for _ in range(count):
                self.request(vm, bucket_id)
        for _ in range(8):
            self.deliver_all()

    def crash(self, vm, cfg):
        """Restart a VM without its state; it takes over its own shards."""
        self.clocks[vm].running.clear()
        self.start(vm, cfg)
        for shard in self.table.shards_of(vm):
            self.take_over(shard, vm)

    def take_over(self, shard, vm):
        self.limiters[vm].acquire(self.table.assign(shard, vm, clean=False), None)

    def hand_over(self, shard, vm):
        old = self.table.owners[shard].vm_id
        if old == vm or not self.is_running(old):
            return
        state = self.limiters[old].release(shard)
        self.limiters[vm].acquire(self.table.assign(shard, vm, clean=True), state)

    def advance(self, seconds):
        self.base.advance(seconds)
        self.settle()

    def settle(self):
        for _ in range(4):
            gevent.sleep(0)
