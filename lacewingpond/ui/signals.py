"""Handling of the signals that reload or stop a process."""

import signal
from collections.abc import Callable

import gevent
from gevent.event import Event


def on_reload(handler: Callable[[], None]) -> None:
    """Call `handler` on each SIGHUP, which would otherwise end the process."""
    gevent.signal_handler(signal.SIGHUP, handler)


def wait_for_stop() -> None:
    """Block until the process receives SIGTERM or SIGINT."""
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    stop_requested.wait()
