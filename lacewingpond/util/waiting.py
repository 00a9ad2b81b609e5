"""Waits for events with a timeout by a given `Clock`."""

import gevent
from gevent.event import Event

from lacewingpond.util.clock import Clock


def wait_for(event: Event, clock: Clock, timeout_s: float) -> bool:
    """Return whether `event` is set; blocks for `timeout_s` at most until it is."""
    if event.is_set() or timeout_s <= 0.0:
        return event.is_set()
    expired = Event()
    timer = gevent.spawn(_set_after, clock, clock.now() + timeout_s, expired)
    try:
        gevent.wait([event, expired], count=1)
    finally:
        timer.kill(block=False)
    return event.is_set()


def _set_after(clock: Clock, deadline: float, expired: Event) -> None:
    # The clock may have advanced before this greenlet first ran.
    remaining_s = deadline - clock.now()
    if remaining_s > 0.0:
        clock.sleep(remaining_s)
    expired.set()
