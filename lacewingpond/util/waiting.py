"""Waiting for an event for a bounded time by the clock that was given in."""

import gevent
from gevent.event import Event

from lacewingpond.util.clock import Clock


def wait_for(event: Event, clock: Clock, timeout_s: float) -> bool:
    """Block until `event` is set or `timeout_s` has passed; True when it is set."""
    if event.is_set() or timeout_s <= 0.0:
        return event.is_set()
    expired = Event()
    timer = gevent.spawn(_expire, clock, clock.now() + timeout_s, expired)
    try:
        gevent.wait([event, expired], count=1)
    finally:
        timer.kill(block=False)
    return event.is_set()


def _expire(clock: Clock, deadline: float, expired: Event) -> None:
    # Time may have moved on before this greenlet first ran.
    left_s = deadline - clock.now()
    if left_s > 0.0:
        clock.sleep(left_s)
    expired.set()
