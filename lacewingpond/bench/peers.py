"""Costs of the peer channel over sockets on loopback."""

import gc
import random

import gevent
from result import Ok

from lacewingpond.bench.series import Point, Series
from lacewingpond.peers.addresses import FixedAddresses
from lacewingpond.peers.base import Message
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

SIZES = (10, 100, 1_000, 10_000, 100_000)
CONNECTIONS = (5, 10, 20, 40)
CALLS = 200
PARALLEL = 20
TIMEOUT_S = 10.0


class BenchBlob(Message):
    """Bytes that are sent and come back."""

    data: bytes


class PeerBench:
    """Costs of calls and connections, both ends together."""

    name = "peers"
    summary = "calls by length, connections by number, between two VMs on loopback"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        rng = random.Random(seed)
        calls = tuple(Point(size, _call_us(size, rng)) for size in SIZES)
        opened = tuple(Point(count, _connect_us(count, rng)) for count in CONNECTIONS)
        held = tuple(Point(count, _held_bytes(count, rng)) for count in CONNECTIONS)
        return (
            Series("call and answer", "current", "bytes", "us", calls),
            Series("open all connections", "current", "connections", "us", opened),
            Series("memory", "current", "connections", "bytes", held),
        )


def _channel(
    vm_id: str, addresses: dict[str, str], rng: random.Random
) -> TcpPeerChannel:
    channel = TcpPeerChannel.from_options(
        PeerOptions(),
        vm_id,
        "1",
        rng.randbytes(32),
        FixedAddresses(addresses),
        RuntimeClock(),
        rng,
        NullDecisionLog(),
        CountingMetrics(),
    )
    channel.register(BenchBlob, lambda sender, message: message)
    channel.start()
    addresses[vm_id] = f"127.0.0.1:{channel.port}"
    return channel


def _channels(count: int, rng: random.Random) -> list[TcpPeerChannel]:
    addresses: dict[str, str] = {}
    seed = rng.random()
    # The same secret for all.
    return [_channel(f"vm{n}", addresses, random.Random(seed)) for n in range(count)]


def _call(channel: TcpPeerChannel, vm_id: str, size: int) -> None:
    result = channel.call(vm_id, BenchBlob(bytes(size)), TIMEOUT_S)
    if not isinstance(result, Ok):
        raise RuntimeError(f"a call failed: {result.err_value}")


def _call_us(size: int, rng: random.Random) -> float:
    caller, other = _channels(2, rng)

    def run() -> None:
        for _ in range(CALLS // PARALLEL):
            jobs = [gevent.spawn(_call, caller, "vm1", size) for _ in range(PARALLEL)]
            gevent.joinall(jobs, raise_error=True)

    try:
        run()
        return cpu_seconds(run) / CALLS * 1e6
    finally:
        caller.stop()
        other.stop()


def _connect_us(count: int, rng: random.Random) -> float:
    channels = _channels(count + 1, rng)
    # A collection in the middle would count as the cost of one of the sizes.
    gc.collect()
    try:
        return cpu_seconds(lambda: _call_all(channels), repeats=1) * 1e6
    finally:
        _stop(channels)


def _held_bytes(count: int, rng: random.Random) -> float:
    channels = _channels(count + 1, rng)
    try:
        return float(retained_bytes(lambda: _call_all(channels)))
    finally:
        _stop(channels)


def _call_all(channels: list[TcpPeerChannel]) -> TcpPeerChannel:
    for number in range(1, len(channels)):
        _call(channels[0], f"vm{number}", 10)
    return channels[0]


def _stop(channels: list[TcpPeerChannel]) -> None:
    for channel in channels:
        channel.stop()
