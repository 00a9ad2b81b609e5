"""Costs of the membership as the fleet grows."""

import random
from collections.abc import Callable

from result import Ok, Result

from lacewingpond.bench.series import Point, Series
from lacewingpond.membership.listing import Listing
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
from lacewingpond.peers.base import Handler, Message, PeerError
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.store.base import StoreError, VmRecord
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import PausedClock
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

SIZES = (10, 50, 200, 500, 1_000, 2_000)
DOMAINS = 22
REGIONS = 6
ROUNDS = 100


class FixedList:
    """A platform's list that does not change."""

    __slots__ = ("vms",)

    def __init__(self, vms: tuple[VmRecord, ...]) -> None:
        self.vms = vms

    def read(self) -> Result[tuple[VmRecord, ...], StoreError]:
        """Return all VMs."""
        return Ok(self.vms)


class EchoChannel:
    """Answers all calls as healthy peers with the same table do; counts bytes."""

    __slots__ = ("bytes", "handlers")

    def __init__(self) -> None:
        self.bytes = 0
        self.handlers: dict[str, Handler] = {}

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Answer a probe or a pull."""
        answer: Message = MemberProbeAck()
        if isinstance(message, MemberPull):
            answer = MemberNews((), 1.0)
        self._count(message)
        self._count(answer)
        return Ok(answer)

    def send(self, vm_id: str, message: Message) -> bool:
        """Take a one-way message."""
        self._count(message)
        return True

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Keep a handler."""
        self.handlers[kind.__name__] = handler

    def _count(self, message: Message) -> None:
        self.bytes += len(encode(Frame(FrameKind.CALL, 1_000, message)))


class MembershipBench:
    """Costs of one VM's membership with 10 to 2,000 entries."""

    name = "membership"
    summary = "probes, pulls, list reads and changes as the fleet grows"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        rng = random.Random(seed)
        return (
            _series("probe round", "current", "us", lambda n: _probe_us(n, rng)),
            _series("probe round", "all to all", "us", lambda n: _all_us(n, rng)),
            _series("pull", "current", "us", lambda n: _pull_us(n, rng)),
            _series("list read", "current", "us", lambda n: _read_us(n, rng)),
            _series("one change", "current", "us", lambda n: _change_us(n, rng)),
            _series("traffic", "current", "bytes/s", lambda n: _traffic(n, rng)),
            _series("traffic", "all to all", "bytes/s", lambda n: _all_traffic(n, rng)),
            _series("one change", "current", "bytes", lambda n: _change_bytes(n, rng)),
            _series("memory", "current", "bytes", lambda n: _memory(n, rng)),
        )


def _series(
    name: str, variant: str, unit: str, measure: Callable[[int], float]
) -> Series:
    points = tuple(Point(size, measure(size)) for size in SIZES)
    return Series(name, variant, "VMs", unit, points)


def _fleet(count: int) -> tuple[VmRecord, ...]:
    return tuple(
        VmRecord(
            f"vm-{number:08x}",
            f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7400",
            f"fd{number % DOMAINS}",
            f"region{number % DOMAINS % REGIONS}",
        )
        for number in range(count)
    )


def _member(count: int, rng: random.Random) -> tuple[Membership, EchoChannel]:
    channel = EchoChannel()
    vms = _fleet(count)
    membership = Membership.from_options(
        MembershipOptions(),
        vms[0],
        FixedList(vms),
        channel,
        PausedClock(),
        random.Random(rng.random()),
        NullDecisionLog(),
        CountingMetrics(),
    )
    membership.refresh_list()
    membership.live()
    channel.bytes = 0
    return membership, channel


def _each_us(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    def repeat() -> None:
        for _ in range(rounds):
            call()

    return cpu_seconds(repeat) / rounds * 1e6


def _probe_us(count: int, rng: random.Random) -> float:
    membership, _ = _member(count, rng)
    return _each_us(membership.probe)


def _all_us(count: int, rng: random.Random) -> float:
    membership, channel = _member(count, rng)
    return _each_us(lambda: _probe_all(membership, channel), rounds=5)


def _probe_all(membership: Membership, channel: EchoChannel) -> None:
    for vm in membership.live():
        result = channel.call(vm.vm_id, MemberProbe(), 0.5)
        membership.note_call(vm.vm_id, isinstance(result, Ok))


def _pull_us(count: int, rng: random.Random) -> float:
    membership, _ = _member(count, rng)
    return _each_us(membership.pull)


def _read_us(count: int, rng: random.Random) -> float:
    options = MembershipOptions()
    table = MemberTable(options.max_vms)
    vm_list = FixedList(_fleet(count))
    listing = Listing(options, vm_list, table, PausedClock(), rng)
    return _each_us(listing.read, rounds=10)


def _change_us(count: int, rng: random.Random) -> float:
    membership, channel = _member(count, rng)
    return _each_us(_changes(membership, channel, count), rounds=10)


def _change_bytes(count: int, rng: random.Random) -> float:
    membership, channel = _member(count, rng)
    change = _changes(membership, channel, count)
    for _ in range(ROUNDS):
        change()
    return channel.bytes / ROUNDS


def _changes(
    membership: Membership, channel: EchoChannel, count: int
) -> Callable[[], None]:
    """Return a call that takes in a change of one VM and passes it on."""
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
    """Return bytes a second that one VM sends and gets answered, without changes."""
    membership, channel = _member(count, rng)
    options = MembershipOptions()
    for _ in range(ROUNDS):
        membership.probe()
    probes_per_s = channel.bytes / ROUNDS / options.probe_interval_s
    channel.bytes = 0
    for _ in range(ROUNDS):
        membership.pull()
    return probes_per_s + channel.bytes / ROUNDS / options.pull_interval_s


def _all_traffic(count: int, rng: random.Random) -> float:
    membership, channel = _member(count, rng)
    _probe_all(membership, channel)
    return channel.bytes / MembershipOptions().probe_interval_s


def _memory(count: int, rng: random.Random) -> float:
    return float(retained_bytes(lambda: _member(count, rng)))
