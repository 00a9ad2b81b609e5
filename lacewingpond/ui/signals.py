"""Waiting for the signals that end a process."""

import signal
from collections.abc import Callable

import gevent
from gevent.event import Event


def on_reload(handler: Callable[[], None]) -> None:
    """Call `handler` at each SIGHUP, which would end the process otherwise."""
    gevent.signal_handler(signal.SIGHUP, handler)


def wait_for_stop() -> None:
    """Block until SIGTERM or SIGINT."""
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told.set)
    told.wait()
