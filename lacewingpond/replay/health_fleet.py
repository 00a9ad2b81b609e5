"""VMs, network and shard owner for replays of outlier detection."""

import heapq
import itertools
import random

from lacewingpond.config.model import Config
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.peers.base import Handler, Message
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import Placer
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock

MESSAGE_DELAY_S = 0.002
# VM whose outlier detector evaluates the reports of all VMs.
SHARD_OWNER_VM = "vm-00"


class FakeNetwork:
    """Delivers messages after a short delay, unless one end is cut off.

    Parameters
    ----------
    clock : ManualClock
        Source of time.

    Attributes
    ----------
    cut : set of str
        Ids of the VMs that are cut off.
    """

    __slots__ = ("_clock", "_waiting", "_order", "_handlers", "cut")

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._waiting: list[tuple[float, int, str, str, Message]] = []
        self._order = itertools.count()
        self._handlers: dict[tuple[str, type[Message]], Handler] = {}
        self.cut: set[str] = set()

    def register(self, vm_id: str, kind: type[Message], handler: Handler) -> None:
        """Let `handler` receive the messages of class `kind` for `vm_id`."""
        self._handlers[vm_id, kind] = handler

    def send(self, sender: str, vm_id: str, message: Message) -> bool:
        """Queue `message` for delivery and return True."""
        at = self._clock.now() + MESSAGE_DELAY_S
        entry = (at, next(self._order), sender, vm_id, message)
        heapq.heappush(self._waiting, entry)
        return True

    def deliver(self) -> None:
        """Deliver all messages that are due."""
        while self._waiting and self._waiting[0][0] <= self._clock.now():
            _, _, sender, vm_id, message = heapq.heappop(self._waiting)
            if sender in self.cut or vm_id in self.cut:
                continue
            self._handlers[vm_id, type(message)](sender, message)


class FakeChannel:
    """One VM's connection to the network."""

    __slots__ = ("_network", "_vm_id")

    def __init__(self, network: FakeNetwork, vm_id: str) -> None:
        self._network = network
        self._vm_id = vm_id

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Let `handler` receive the messages of class `kind`."""
        self._network.register(self._vm_id, kind, handler)

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` for delivery to `vm_id` and return True."""
        return self._network.send(self._vm_id, vm_id, message)


class FakeShards:
    """A shard table of one shard, which `SHARD_OWNER_VM` owns."""

    __slots__ = ("_vm_id", "shard_count")

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self.shard_count = 1

    def owner(self, shard: int) -> Ownership:
        """Return the owner, which is always the same."""
        return Ownership(shard, SHARD_OWNER_VM, "1", 1, True, 0.0)

    def active_ownership(self, shard: int) -> Ownership | None:
        """Return the ownership if this VM is the owner."""
        return self.owner(shard) if self._vm_id == SHARD_OWNER_VM else None


class HealthFleet:
    """Health reporters and placers of all VMs, advanced by the replayer.

    Parameters
    ----------
    vm_count : int
        Number of VMs.
    cfg : Config
        The services and targets.
    options : HealthOptions
        Options of the reporters.
    clock : ManualClock
        Source of time.
    seed : int
        Seed of the VMs' random choices.
    """

    __slots__ = ("network", "reporters", "placers", "vm_ids", "_period_s", "_due")

    def __init__(
        self,
        vm_count: int,
        cfg: Config,
        options: HealthOptions,
        clock: ManualClock,
        seed: int,
    ) -> None:
        self.network = FakeNetwork(clock)
        self.vm_ids = [f"vm-{number:02d}" for number in range(vm_count)]
        self._period_s = options.period_s
        rng = random.Random(seed)
        self._due = {vm: clock.now() + rng.random() for vm in self.vm_ids}
        self.reporters: dict[str, HealthReporter] = {}
        self.placers: dict[str, Placer] = {}
        for vm_id in self.vm_ids:
            self._add(vm_id, cfg, options, clock, rng)

    def tick(self, now: float) -> None:
        """Deliver due messages and tick the reporters whose period has passed."""
        self.network.deliver()
        for vm_id, due in self._due.items():
            if due <= now:
                self.reporters[vm_id].tick()
                self._due[vm_id] = due + self._period_s

    def configure(self, cfg: Config) -> None:
        """Apply a configuration on all VMs."""
        for vm_id in self.vm_ids:
            self.reporters[vm_id].configure(cfg)
            self.placers[vm_id].configure(cfg)

    def _add(
        self,
        vm_id: str,
        cfg: Config,
        options: HealthOptions,
        clock: ManualClock,
        rng: random.Random,
    ) -> None:
        log, metrics = NullDecisionLog(), CountingMetrics()
        channel = FakeChannel(self.network, vm_id)
        shards = FakeShards(vm_id)
        reporter = HealthReporter.from_options(
            options, ComponentContext(vm_id, clock, rng, channel, shards, log, metrics)
        )
        placer = Placer.from_options(
            PlacementOptions(), vm_id, "", clock, rng, reporter, log, metrics
        )
        reporter.set_fleet_size(len(self.vm_ids))
        placer.set_fleet_size(len(self.vm_ids))
        self.reporters[vm_id] = reporter
        self.placers[vm_id] = placer
        reporter.configure(cfg)
        placer.configure(cfg)
