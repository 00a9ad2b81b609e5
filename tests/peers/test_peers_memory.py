"""Tests of the network within one process."""

import random

from result import Ok

from lacewingpond.peers.base import Message, PeerFailure
from lacewingpond.peers.memory import MemoryNetwork, MemoryOptions


class MemoryNote(Message):
    number: int


def pair(clock, options=None):
    network = MemoryNetwork(clock, random.Random(3), options)
    taken = []

    def take(sender, message):
        taken.append(message.number)
        return message

    network.channel("b").register(MemoryNote, take)
    return network, network.channel("a"), taken


def test_call_answers_and_crashed_vm_refuses(clock):
    network, a, _ = pair(clock)
    assert a.call("b", MemoryNote(1), 1.0) == Ok(MemoryNote(1))
    network.crash("b")
    error = a.call("b", MemoryNote(2), 1.0).unwrap_err()
    assert error.failure is PeerFailure.NOT_SENT


def test_one_way_partition_loses_the_answer_only(clock):
    network, a, taken = pair(clock)
    network.block("b", "a")
    assert a.call("b", MemoryNote(1), 1.0).is_err()
    assert taken == [1]
    network.block("a", "b")
    assert a.call("b", MemoryNote(2), 1.0).is_err()
    assert taken == [1]


def test_delays_reorder_and_a_paused_vm_takes_messages_late(clock):
    network, a, taken = pair(clock, MemoryOptions(max_delay_s=1.0))
    for number in range(10):
        a.send("b", MemoryNote(number))
    network.pause("b")
    clock.advance(2.0)
    network.run_due()
    assert taken == []
    network.resume("b")
    assert sorted(taken) == list(range(10))
    assert taken != sorted(taken)


def test_call_that_times_out_may_act_later(clock):
    network, a, taken = pair(clock, MemoryOptions(min_delay_s=2.0, max_delay_s=2.0))
    error = a.call("b", MemoryNote(1), 1.0).unwrap_err()
    assert (error.failure, taken) == (PeerFailure.UNKNOWN, [])
    clock.advance(2.0)
    network.run_due()
    assert taken == [1]
