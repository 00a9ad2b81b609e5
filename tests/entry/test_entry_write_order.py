"""Tests of ignoring writes that the store has executed late."""

import pytest

from lacewingpond.entry.write_order import LATE_WRITE_S, WriteOrder
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


@pytest.fixture
def order(clock):
    def is_older(key, value, other):
        return value < other

    return WriteOrder(is_older, clock, RecordingDecisionLog())


def test_older_write_is_late_for_a_while_after_a_newer_one(order, clock):
    assert not order.is_late("a", b"1", b"2")
    order.record("a")
    clock.advance(LATE_WRITE_S)
    assert order.is_late("a", b"1", b"2")
    assert not order.is_late("a", b"2", b"2")
    assert not order.is_late("b", b"1", b"2")
    assert [line[:3] for line in order._log.lines] == [
        ("entry", "a", "late write, ignored")
    ]


# Guards against a target whose numbers have gone back and that is never used again.
def test_writer_whose_numbers_have_gone_back_is_believed_again(order, clock):
    order.record("a")
    clock.advance(LATE_WRITE_S + 0.1)
    assert not order.is_late("a", b"1", b"2")


def test_memory_is_bounded_by_the_keys_of_the_last_while(order, clock):
    for number in range(100):
        order.record(f"key-{number}")
        order.record("again")
        clock.advance(LATE_WRITE_S / 10)
    assert len(order._changed_at) <= 12
