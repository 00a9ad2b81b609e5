"""Shard managers over real sockets: claims, planned stops and a restart."""

import random

import gevent
import pytest

from lacewingpond.daemon.addresses import DeferredAddresses
from lacewingpond.membership.membership import Membership
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.replay.shard_counter import CounterComponent, ExpectedCounters
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import VmRecord
from lacewingpond.store.memory import MemoryStore, MemoryVmList
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

SHARDS = 16
MEMBERS = MembershipOptions(
    probe_interval_s=0.1, list_interval_s=0.1, pull_interval_s=0.1
)
OPTIONS = ShardOptions(
    shard_count=SHARDS,
    max_gap_s=30.0,
    longest_grant_s=0.2,
    settle_s=0.5,
    tick_s=0.05,
    step_s=0.05,
    refresh_s=0.2,
    pull_s=0.2,
    rebalance_s=1e9,
)


class Node:
    def __init__(self, vm_id, incarnation, store, vm_list, expected):
        clock, log, metrics = RuntimeClock(), RecordingDecisionLog(), CountingMetrics()
        rng = random.Random(f"{vm_id} {incarnation}")
        addresses = DeferredAddresses()
        self.channel = TcpPeerChannel.from_options(
            PeerOptions(), vm_id, incarnation, b"s", addresses, clock, rng, log, metrics
        )
        self.channel.start()
        address = f"127.0.0.1:{self.channel.port}"
        vm = VmRecord(vm_id, address, f"fd-{vm_id}", "r1")
        others = [other for other in vm_list.current() if other.vm_id != vm_id]
        vm_list.set((*others, vm))
        self.members = Membership.from_options(
            MEMBERS, vm, vm_list, self.channel, clock, rng, log, metrics
        )
        addresses.delegate = self.members
        self.shards = ShardManager.from_options(
            OPTIONS,
            ProcessId(vm_id, incarnation),
            store,
            vm_list,
            self.members,
            self.channel,
            clock,
            rng,
            log,
            metrics,
        )
        self.component = CounterComponent(expected)
        self.shards.add_component(self.component)
        self.members.start()
        self.shards.start()

    def end(self):
        self.shards.close()
        self.members.stop()
        self.channel.stop()


def wait_until(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.02)


def owned(nodes):
    return sorted(shard for node in nodes for shard in node.shards.active_shards())


@pytest.fixture(params=[3])
def fleet(request):
    clock = RuntimeClock()
    # The delay of each store call makes concurrent writes of the table conflict.
    store = FaultyStore(MemoryStore(clock), clock, PlatformFaults(delay_s=0.002))
    vm_list, expected = MemoryVmList(clock), ExpectedCounters()
    nodes = [
        Node(f"vm{n}", "1", store, vm_list, expected) for n in range(request.param)
    ]
    yield nodes, store, vm_list, expected
    for node in nodes:
        node.end()


def test_planned_stop_keeps_all_state_and_restart_takes_the_shards_back(fleet):
    nodes, store, vm_list, expected = fleet
    all_shards = list(range(SHARDS))
    wait_until(lambda: owned(nodes) == all_shards)
    leaver = max(nodes, key=lambda node: len(node.shards.active_shards()))
    leaver_shards = leaver.shards.active_shards()
    for shard in leaver_shards:
        leaver.component.work(shard)
    leaver.members.announce_leaving()
    report = leaver.shards.hand_over_all(grace_s=20.0)
    leaver.end()
    nodes.remove(leaver)
    assert report.moved == len(leaver_shards)
    wait_until(lambda: owned(nodes) == all_shards)
    assert (expected.lost, expected.unclean_takeovers) == (0, 0)

    crashed = nodes.pop()
    crashed_shards = crashed.shards.active_shards()
    crashed.end()
    crashed_id = nodes[0].shards.owner(crashed_shards[0]).vm_id
    nodes.append(Node(crashed_id, "2", store, vm_list, expected))
    wait_until(lambda: owned(nodes) == all_shards)
    assert expected.unclean_takeovers == len(crashed_shards)


@pytest.mark.parametrize("fleet", [8], indirect=True)
def test_concurrent_planned_stops_keep_all_state(fleet):
    nodes, _, _, expected = fleet
    all_shards = list(range(SHARDS))
    wait_until(lambda: owned(nodes) == all_shards)
    for node in nodes:
        for shard in node.shards.active_shards():
            node.component.work(shard)
    leavers = nodes[1:]
    for node in leavers:
        node.members.announce_leaving()
    stops = [gevent.spawn(node.shards.hand_over_all, 20.0) for node in leavers]
    gevent.joinall(stops, raise_error=True)
    wait_until(lambda: owned(nodes[:1]) == all_shards)
    assert sum(stop.value.left for stop in stops) == 0
    assert (expected.lost, expected.unclean_takeovers) == (0, 0)
