"""Costs of the peer channel over TCP on loopback."""

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
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

MESSAGE_BYTES = (10, 100, 1_000, 10_000, 100_000)
CONNECTION_COUNTS = (5, 10, 20, 40)
CALLS = 200
PARALLEL_CALLS = 20
CALL_TIMEOUT_S = 10.0


class BenchBlob(Message):
    """Payload that the peer returns as its response."""

    data: bytes


class PeerBench:
    """Benchmark ``peers``: costs of calls and connections, both ends together."""

    name = "peers"
    summary = "calls by length, connections by number, between two VMs on loopback"

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        rng = random.Random(seed)
        calls = tuple(Point(size, _call_us(size, rng)) for size in MESSAGE_BYTES)
        opened = tuple(
            Point(count, _connect_us(count, rng)) for count in CONNECTION_COUNTS
        )
        held = tuple(
            Point(count, _connection_bytes(count, rng)) for count in CONNECTION_COUNTS
        )
        return (
            Series("call and response", "current", "bytes", "us", calls),
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
    # Equal seeds give all channels the same secret.
    return [_channel(f"vm{n}", addresses, random.Random(seed)) for n in range(count)]


def _call(channel: TcpPeerChannel, vm_id: str, size: int) -> None:
    result = channel.call(vm_id, BenchBlob(bytes(size)), CALL_TIMEOUT_S)
    if not isinstance(result, Ok):
        raise RuntimeError(f"a call failed: {result.err_value}")


def _call_us(size: int, rng: random.Random) -> float:
    caller, peer = _channels(2, rng)

    def run() -> None:
        for _ in range(CALLS // PARALLEL_CALLS):
            greenlets = [
                gevent.spawn(_call, caller, "vm1", size) for _ in range(PARALLEL_CALLS)
            ]
            gevent.joinall(greenlets, raise_error=True)

    try:
        run()
        return cpu_seconds(run) / CALLS * 1e6
    finally:
        caller.stop()
        peer.stop()


def _connect_us(count: int, rng: random.Random) -> float:
    channels = _channels(count + 1, rng)
    # Otherwise a garbage collection might run during the measurement of one size.
    gc.collect()
    try:
        return cpu_seconds(lambda: _call_all(channels), repeats=1) * 1e6
    finally:
        _stop(channels)


def _connection_bytes(count: int, rng: random.Random) -> float:
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
