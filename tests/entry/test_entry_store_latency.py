"""Tests of the time after which a call to the store is overdue."""

from lacewingpond.entry.store_latency import OVERDUE_S, StoreLatency


def test_call_is_overdue_soon_after_its_wait():
    assert StoreLatency().due_s(0.6) == 0.6 + OVERDUE_S


# Guards against a slow store that is taken for one that is away, and called more often.
def test_slow_store_gets_twice_its_latency():
    latency = StoreLatency()
    latency.observe(1.4, 0.6)
    assert latency.due_s(0.6) == 0.6 + 2 * (1.4 - 0.6)
    latency.observe(0.3, 0.6)  # ended by events, after 0.3 s at most
    assert latency.due_s(0.6) == 0.6 + 2 * 0.3
    latency.observe(0.604, 0.6)
    assert latency.due_s(0.6) == 0.6 + 2 * 0.3


def test_answer_at_once_shows_that_the_store_is_fast_again():
    latency = StoreLatency()
    latency.observe(1.4, 0.6)
    latency.observe(0.004, 0.0)
    assert latency.due_s(0.0) == OVERDUE_S
