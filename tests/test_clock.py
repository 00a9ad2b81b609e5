"""Tests of the clock that is advanced by hand."""

import gevent


def test_advance_wakes_sleepers_in_order_of_time(clock):
    woken = []

    def sleeper(name, seconds):
        clock.sleep(seconds)
        woken.append((name, clock.now()))

    start = clock.now()
    gevent.spawn(sleeper, "late", 2.0)
    gevent.spawn(sleeper, "early", 1.0)
    clock.advance(3.0)
    assert woken == [("early", start + 1.0), ("late", start + 2.0)]
    assert clock.now() == start + 3.0


def test_advance_wakes_a_sleeper_that_sleeps_again(clock):
    ticks = []

    def ticker():
        while len(ticks) < 5:
            clock.sleep(1.0)
            ticks.append(clock.now())

    start = clock.now()
    gevent.spawn(ticker)
    clock.advance(3.5)
    assert ticks == [start + 1.0, start + 2.0, start + 3.0]
