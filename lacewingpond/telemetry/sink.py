"""Writes eliot messages without blocking requests."""

import os
import sys
from collections import deque

import gevent
import gevent.os
import msgspec
from eliot import add_destinations, remove_destination
from eliot.json import json_default
from gevent.event import Event

from lacewingpond.telemetry.metrics import Metrics

MAX_QUEUED_LINES = 20_000
"""Lines that may wait to be written; further ones are dropped and counted."""
MAX_LINES_PER_WRITE = 500


class LogSink:
    """An eliot destination: a bounded queue and a greenlet that writes it.

    Parameters
    ----------
    fd : int
        Open file descriptor.
    metrics : Metrics
        Receives the count of dropped lines, ``log.dropped``.
    """

    __slots__ = ("_fd", "_metrics", "_lines", "_ready", "_writer")

    def __init__(self, fd: int, metrics: Metrics) -> None:
        self._fd = fd
        self._metrics = metrics
        self._lines: deque[bytes] = deque()
        self._ready = Event()
        self._writer: gevent.Greenlet | None = None

    @classmethod
    def from_path(cls, path: str, metrics: Metrics) -> "LogSink":
        """Return a sink that appends to `path`, or to standard output if it is empty.

        Raises
        ------
        OSError
            If the file can't be opened.
        """
        if not path:
            return cls(sys.stdout.fileno(), metrics)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return cls(os.open(path, flags, 0o640), metrics)

    def start(self) -> None:
        """Start to receive and write eliot messages."""
        self._writer = gevent.spawn(self._run)
        add_destinations(self)

    def stop(self, timeout_s: float = 1.0) -> None:
        """Stop receiving messages; wait `timeout_s` at most for the queue to drain."""
        remove_destination(self)
        self._ready.set()
        with gevent.Timeout(timeout_s, False):
            while self._lines:
                gevent.sleep(0.01)
        if self._writer is not None:
            self._writer.kill(block=False)

    def __call__(self, message: dict[str, object]) -> None:
        """Queue one message."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._metrics.incr("log.dropped")
            return
        self._lines.append(_encode(message))
        self._ready.set()

    def _run(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                count = min(len(self._lines), MAX_LINES_PER_WRITE)
                data = b"".join(self._lines.popleft() for _ in range(count))
                self._write(data)

    def _write(self, data: bytes) -> None:
        while data:
            try:
                # Written in a thread, because a full pipe would block all greenlets.
                written = gevent.os.tp_write(self._fd, data)
            except OSError:
                self._metrics.incr("log.dropped")
                return
            data = data[written:]


def _encode(message: dict[str, object]) -> bytes:
    return msgspec.json.encode(message, enc_hook=json_default) + b"\n"
