"""Tests of the simulated network."""

import random

from result import Ok

from lacewingpond.peers.base import Message, PeerFailure
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions


class MemoryNote(Message):
    number: int


def pair(clock, options=None):
    network = MemoryNetwork(clock, random.Random(3), options)
    received = []

    def record(sender, message):
        received.append(message.number)
        return message

    network.channel("b").register(MemoryNote, record)
    return network, network.channel("a"), received


def test_call_returns_the_answer_and_a_crashed_vm_refuses_it(clock):
    network, a, _ = pair(clock)
    assert a.call("b", MemoryNote(1), 1.0) == Ok(MemoryNote(1))
    network.crash("b")
    error = a.call("b", MemoryNote(2), 1.0).unwrap_err()
    assert error.failure is PeerFailure.NOT_SENT


def test_one_way_partition_delivers_the_call_and_loses_the_response(clock):
    network, a, received = pair(clock)
    network.block("b", "a")
    assert a.call("b", MemoryNote(1), 1.0).is_err()
    assert received == [1]
    network.block("a", "b")
    assert a.call("b", MemoryNote(2), 1.0).is_err()
    assert received == [1]


def test_delays_reorder_messages_and_a_paused_vm_gets_them_on_resume(clock):
    network, a, received = pair(clock, MemoryNetworkOptions(max_delay_s=1.0))
    for number in range(10):
        a.send("b", MemoryNote(number))
    network.pause("b")
    clock.advance(2.0)
    network.run_due()
    assert received == []
    network.resume("b")
    assert sorted(received) == list(range(10))
    assert received != sorted(received)


def test_call_that_times_out_may_take_effect_later(clock):
    network, a, received = pair(
        clock, MemoryNetworkOptions(min_delay_s=2.0, max_delay_s=2.0)
    )
    error = a.call("b", MemoryNote(1), 1.0).unwrap_err()
    assert (error.failure, received) == (PeerFailure.UNKNOWN, [])
    clock.advance(2.0)
    network.run_due()
    assert received == [1]
