"""Waiting for the signals that end a process."""

import signal

import gevent
from gevent.event import Event


def wait_for_stop() -> None:
    """Block until SIGTERM or SIGINT."""
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told.set)
    told.wait()
