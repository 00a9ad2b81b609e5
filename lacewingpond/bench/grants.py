"""Costs of the fleet-wide limits by the number of active workspaces and VMs."""

import random
from collections.abc import Callable

import gevent

from lacewingpond.bench.grant_link import GrantLink
from lacewingpond.bench.series import Point, Series
from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.bucket import workspace_bucket
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.messages import GrantAnswer, GrantAsk, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.base import Handler, Message
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.replay.static_limiter import StaticLimiter
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

REQUESTS_PER_S = 124.0
"""Requests per second on each VM."""
WORKSPACE_COUNTS = (8, 64, 512, 2_048)
VM_COUNTS = (5, 10, 20, 40)
FEW_WORKSPACES = 8
FLEET_VMS = 10
WARM_UP_S = 1.0
MEASUREMENT_S = 2.0
STEP_S = 0.001
ROUNDS = 20
CONFIGURED_COUNTS = (6_000, 12_000, 24_000, 47_000)
SHARD_COUNT = 128


class LoopbackChannel:
    """Passes each message to the handler on the same VM at once."""

    __slots__ = ("_handlers",)

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}

    def send(self, vm_id: str, message: Message) -> bool:
        """Deliver the message, as if `vm_id` had sent it."""
        self._handlers[type(message)](vm_id, message)
        return True

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self._handlers[kind] = handler


class LoopbackShardView:
    """Shard view in which one VM owns all shards but reaches them by messages.

    The owner's id differs from the VM's id, so the VM sends its requests over the
    channel; `active_ownership` returns the same ownership, so the VM also handles them.
    """

    __slots__ = ("_table",)

    shard_count = SHARD_COUNT

    def __init__(self, table: FakeShardTable) -> None:
        self._table = table

    def owner(self, shard: int) -> Ownership | None:
        """Return the ownership of a shard."""
        return self._table.owners[shard]

    active_ownership = owner


class GrantFleet:
    """Simulated fleet with the same load on all VMs and workspaces.

    Parameters
    ----------
    vm_count, workspace_count : int
        Numbers of VMs and workspaces.
    seed : int
        Seed of message delays and of the requests.
    """

    def __init__(self, vm_count: int, workspace_count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        faults = MemoryNetworkOptions(min_delay_s=0.0004, max_delay_s=0.0006)
        self.network = MemoryNetwork(self.clock, self.rng, faults)
        self.vms = tuple(f"vm{number}" for number in range(vm_count))
        self.table = FakeShardTable(SHARD_COUNT, self.vms, self.clock)
        requests_per_s = REQUESTS_PER_S * vm_count / workspace_count
        self.names = tuple(f"workspace-{n:05}" for n in range(workspace_count))
        self.cfg = config(self.names, requests_per_s)
        self.channels = {vm: self.network.channel(vm) for vm in self.vms}
        self.limiters = {vm: self._limiter(vm) for vm in self.vms}

    def run(self, seconds: float) -> None:
        """Send requests at `REQUESTS_PER_S` per VM for `seconds`."""
        end = self.clock.now() + seconds
        due = self.clock.now()
        total = REQUESTS_PER_S * len(self.vms)
        while self.clock.now() < end:
            while due <= self.clock.now():
                bucket_id = workspace_bucket(self.rng.choice(self.names))
                limiter = self.limiters[self.rng.choice(self.vms)]
                gevent.spawn(limiter.admit, (bucket_id,))
                due += self.rng.expovariate(total)
            self.clock.advance(STEP_S)
            self.network.run_due()

    def grant_traffic(self) -> tuple[int, int]:
        """Return the number and the bytes of grant messages that all VMs sent."""
        messages = size = 0
        for channel in self.channels.values():
            for kind in (GrantAsk, GrantAnswer, GrantReturn):
                tally = channel.message_counts.by_kind.get(kind.__name__)
                if tally is not None:
                    messages += tally.sent
                    size += tally.sent_bytes
        return messages, size

    def _limiter(self, vm: str) -> FleetLimiter:
        limiter = FleetLimiter.from_options(
            LimitOptions(),
            ComponentContext.unlogged(
                vm,
                self.clock,
                random.Random(self.rng.random()),
                self.channels[vm],
                self.table.view(vm),
            ),
        )
        limiter.configure(self.cfg)
        for shard in self.table.shards_of(vm):
            limiter.acquire(self.table.owners[shard], None)
        return limiter


class GrantBench:
    """Benchmark ``grants``: traffic, processor time and memory of the limits."""

    name = "grants"
    summary = "Messages, bytes and processor time of fleet-wide limits."

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the simulated fleets."""
        by_workspaces = [
            (n, _traffic_per_vm(FLEET_VMS, n, seed)) for n in WORKSPACE_COUNTS
        ]
        by_vms = [(n, _traffic_per_vm(n, FEW_WORKSPACES, seed)) for n in VM_COUNTS]
        return (
            _traffic_series("messages", "workspaces", "messages/s", 0, by_workspaces),
            _traffic_series("bytes", "workspaces", "bytes/s", 1, by_workspaces),
            _traffic_series("messages", "VMs", "messages/s", 0, by_vms),
            _traffic_series("bytes", "VMs", "bytes/s", 1, by_vms),
            _cost_series("admission with a grant request", "current", _request_us),
            _cost_series("admission with a grant request", "static", _static_us),
            _cost_series("admission with prefetched grants", "current", _prefetch_us),
            _cost_series(
                "admission with a grant request over TCP, both ends", "current", _tcp_us
            ),
            _memory_series(
                "memory of an active bucket", _active_bucket_bytes, WORKSPACE_COUNTS
            ),
            _memory_series(
                "memory of the configured limits", _configured_bytes, CONFIGURED_COUNTS
            ),
            _configure_series(),
        )


def config(names: tuple[str, ...], requests_per_s: float) -> Config:
    """Return workspaces whose rate is twice `requests_per_s`."""
    rate = 2.0 * requests_per_s
    return Config(1, tuple(Workspace(n, rate, max(2.0 * rate, 2.0)) for n in names))


def _traffic_per_vm(
    vm_count: int, workspace_count: int, seed: int
) -> tuple[float, float]:
    fleet = GrantFleet(vm_count, workspace_count, seed)
    fleet.run(WARM_UP_S)
    messages, size = fleet.grant_traffic()
    fleet.run(MEASUREMENT_S)
    later_messages, later_size = fleet.grant_traffic()
    scale = MEASUREMENT_S * vm_count
    return (later_messages - messages) / scale, (later_size - size) / scale


def _traffic_series(
    name: str,
    size_unit: str,
    value_unit: str,
    column: int,
    rows: list[tuple[int, tuple[float, float]]],
) -> Series:
    points = tuple(Point(size, values[column]) for size, values in rows)
    return Series(f"{name} per daemon", "current", size_unit, value_unit, points)


def _loopback_limiter(names: tuple[str, ...]) -> FleetLimiter:
    clock = ManualClock()
    table = FakeShardTable(SHARD_COUNT, ("peer",), clock)
    limiter = FleetLimiter.from_options(
        LimitOptions(),
        ComponentContext.unlogged(
            "vm", clock, random.Random(1), LoopbackChannel(), LoopbackShardView(table)
        ),
    )
    limiter.configure(config(names, 1e6))
    for shard in range(SHARD_COUNT):
        limiter.acquire(table.owners[shard], None)
    return limiter


def _names(count: int) -> tuple[str, ...]:
    return tuple(f"workspace-{number:05}" for number in range(count))


def _request_us(count: int) -> float:
    names = _names(count)
    buckets = [(workspace_bucket(name),) for name in names]

    def request_all() -> None:
        limiter = _loopback_limiter(names)
        for bucket_ids in buckets:
            limiter.admit(bucket_ids)

    setup_s = cpu_seconds(lambda: _loopback_limiter(names))
    return (cpu_seconds(request_all) - setup_s) / count * 1e6


def _tcp_us(count: int) -> float:
    names = _names(count)
    link = GrantLink(("first", *names))
    try:
        link.admit(("first",))
        return link.admit(names) / count * 1e6
    finally:
        link.close()


def _prefetch_us(count: int) -> float:
    names = _names(count)
    buckets = [(workspace_bucket(name),) for name in names]
    limiter = _loopback_limiter(names)

    def admit_all() -> None:
        for _ in range(ROUNDS):
            for bucket_ids in buckets:
                limiter.admit(bucket_ids)

    return cpu_seconds(admit_all) / (count * ROUNDS) * 1e6


def _static_us(count: int) -> float:
    names = _names(count)
    buckets = [(workspace_bucket(name),) for name in names]
    limiter = StaticLimiter(config(names, 1e6), 40, ManualClock())

    def admit_all() -> None:
        for bucket_ids in buckets:
            limiter.admit(bucket_ids)

    return cpu_seconds(admit_all) / count * 1e6


def _cost_series(name: str, variant: str, measure: Callable[[int], float]) -> Series:
    points = tuple(Point(count, measure(count)) for count in WORKSPACE_COUNTS)
    return Series(name, variant, "workspaces", "us", points)


def _memory_series(
    name: str, measure: Callable[[int], int], sizes: tuple[int, ...]
) -> Series:
    points = tuple(Point(count, measure(count) / 1e6) for count in sizes)
    return Series(name, "current", "workspaces", "MB", points)


def _active_bucket_bytes(count: int) -> int:
    names = _names(count)
    limiter = _loopback_limiter(names)

    def use_all() -> FleetLimiter:
        for name in names:
            limiter.admit((workspace_bucket(name),))
        return limiter

    return retained_bytes(use_all)


def _configured_bytes(count: int) -> int:
    cfg = config(_names(count), 1.0)

    def build() -> FleetLimiter:
        limiter = _loopback_limiter(())
        limiter.configure(cfg)
        return limiter

    return retained_bytes(build)


def _configure_series() -> Series:
    points: list[Point] = []
    for count in CONFIGURED_COUNTS:
        old = config(_names(count), 1.0)
        changed = Workspace("workspace-00000", 9.0, 9.0)
        new = Config(2, (changed, *old.workspaces[1:]))
        limiter = _loopback_limiter(())
        limiter.configure(old)
        seconds = cpu_seconds(lambda limiter=limiter, new=new: limiter.configure(new))
        points.append(Point(count, seconds * 1e3))
    return Series("a change", "current", "workspaces", "ms", tuple(points))
