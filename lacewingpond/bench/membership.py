"""Costs of membership by the size of the fleet."""

import random
from collections.abc import Callable

from result import Ok, Result

from lacewingpond.bench.series import Point, Series
from lacewingpond.membership.membership import Membership
from lacewingpond.membership.messages import (
    MemberNews,
    MemberProbe,
    MemberProbeAck,
    MemberPull,
)
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.membership.vm_list_reader import VmListReader
from lacewingpond.peers.base import Handler, Message, PeerError
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.store.base import StoreError, VmRecord
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

VM_COUNTS = (10, 50, 200, 500, 1_000, 2_000)
DOMAIN_COUNT = 22
REGION_COUNT = 6
ROUNDS = 100


class FixedList:
    """VM list of the platform that does not change."""

    __slots__ = ("vms",)

    def __init__(self, vms: tuple[VmRecord, ...]) -> None:
        self.vms = vms

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return all VMs."""
        return Ok(self.vms)


class HealthyPeersChannel:
    """Responds to calls as healthy peers with the same member table; counts bytes."""

    __slots__ = ("byte_count", "handlers")

    def __init__(self) -> None:
        self.byte_count = 0
        self.handlers: dict[str, Handler] = {}

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Return the response to a probe or to a pull."""
        response: Message = MemberProbeAck()
        if isinstance(message, MemberPull):
            response = MemberNews((), 1.0)
        self._add_bytes(message)
        self._add_bytes(response)
        return Ok(response)

    def send(self, vm_id: str, message: Message) -> bool:
        """Count a one-way message and drop it."""
        self._add_bytes(message)
        return True

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self.handlers[kind.__name__] = handler

    def _add_bytes(self, message: Message) -> None:
        self.byte_count += len(encode(Frame(FrameKind.CALL, 1_000, message)))


class MembershipBench:
    """Benchmark ``membership``: costs of one VM in fleets of 10 to 2,000 VMs."""

    name = "membership"
    summary = "probes, pulls, list reads and changes as the fleet grows"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        rng = random.Random(seed)
        return (
            _series("probe round", "current", "us", lambda n: _probe_us(n, rng)),
            _series(
                "probe round", "all to all", "us", lambda n: _all_to_all_us(n, rng)
            ),
            _series("pull", "current", "us", lambda n: _pull_us(n, rng)),
            _series("list read", "current", "us", lambda n: _read_us(n, rng)),
            _series("one change", "current", "us", lambda n: _change_us(n, rng)),
            _series("traffic", "current", "bytes/s", lambda n: _traffic(n, rng)),
            _series(
                "traffic",
                "all to all",
                "bytes/s",
                lambda n: _all_to_all_traffic(n, rng),
            ),
            _series("one change", "current", "bytes", lambda n: _change_bytes(n, rng)),
            _series("memory", "current", "bytes", lambda n: _memory(n, rng)),
        )


def _series(
    name: str, variant: str, unit: str, measure: Callable[[int], float]
) -> Series:
    points = tuple(Point(size, measure(size)) for size in VM_COUNTS)
    return Series(name, variant, "VMs", unit, points)


def _fleet(count: int) -> tuple[VmRecord, ...]:
    return tuple(
        VmRecord(
            f"vm-{number:08x}",
            f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7400",
            f"fd{number % DOMAIN_COUNT}",
            f"region{number % DOMAIN_COUNT % REGION_COUNT}",
        )
        for number in range(count)
    )


def _membership(
    count: int, rng: random.Random
) -> tuple[Membership, HealthyPeersChannel]:
    channel = HealthyPeersChannel()
    vms = _fleet(count)
    membership = Membership.from_options(
        MembershipOptions(),
        vms[0],
        FixedList(vms),
        channel,
        ManualClock(),
        random.Random(rng.random()),
        NullDecisionLog(),
        CountingMetrics(),
    )
    membership.refresh_list()
    membership.live()
    channel.byte_count = 0
    return membership, channel


def _mean_us(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    def repeat() -> None:
        for _ in range(rounds):
            call()

    return cpu_seconds(repeat) / rounds * 1e6


def _probe_us(count: int, rng: random.Random) -> float:
    membership, _ = _membership(count, rng)
    return _mean_us(membership.probe)


def _all_to_all_us(count: int, rng: random.Random) -> float:
    membership, channel = _membership(count, rng)
    return _mean_us(lambda: _probe_all(membership, channel), rounds=5)


def _probe_all(membership: Membership, channel: HealthyPeersChannel) -> None:
    for vm in membership.live():
        result = channel.call(vm.vm_id, MemberProbe(), 0.5)
        membership.record_call(vm.vm_id, isinstance(result, Ok))


def _pull_us(count: int, rng: random.Random) -> float:
    membership, _ = _membership(count, rng)
    return _mean_us(membership.pull)


def _read_us(count: int, rng: random.Random) -> float:
    options = MembershipOptions()
    table = MemberTable(options.max_vms)
    vm_list = FixedList(_fleet(count))
    reader = VmListReader(options, vm_list, table, ManualClock(), rng)
    return _mean_us(reader.read, rounds=10)


def _change_us(count: int, rng: random.Random) -> float:
    membership, channel = _membership(count, rng)
    return _mean_us(_change_call(membership, channel, count), rounds=10)


def _change_bytes(count: int, rng: random.Random) -> float:
    membership, channel = _membership(count, rng)
    change = _change_call(membership, channel, count)
    for _ in range(ROUNDS):
        change()
    return channel.byte_count / ROUNDS


def _change_call(
    membership: Membership, channel: HealthyPeersChannel, count: int
) -> Callable[[], None]:
    """Return a call that receives a status change of one VM and relays it."""
    handler = channel.handlers[MemberNews.__name__]
    subject = _fleet(count)[-1]
    version = 0

    def change() -> None:
        nonlocal version
        version += 1
        record = MemberRecord.from_listed(subject)
        status = MemberStatus.SUSPECT if version % 2 else MemberStatus.LIVE
        news = MemberNews((record.with_status(status, raise_version=version),))
        handler("vm-other", news)
        membership.live()

    return change


def _traffic(count: int, rng: random.Random) -> float:
    """Return the bytes per second of one VM's calls and responses, without changes."""
    membership, channel = _membership(count, rng)
    options = MembershipOptions()
    for _ in range(ROUNDS):
        membership.probe()
    probes_per_s = channel.byte_count / ROUNDS / options.probe_interval_s
    channel.byte_count = 0
    for _ in range(ROUNDS):
        membership.pull()
    return probes_per_s + channel.byte_count / ROUNDS / options.pull_interval_s


def _all_to_all_traffic(count: int, rng: random.Random) -> float:
    membership, channel = _membership(count, rng)
    _probe_all(membership, channel)
    return channel.byte_count / MembershipOptions().probe_interval_s


def _memory(count: int, rng: random.Random) -> float:
    return float(retained_bytes(lambda: _membership(count, rng)))
