"""Writes log lines without ever blocking a request."""

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

MAX_LINES = 20_000
"""Lines that wait for the file; later ones are dropped and counted."""
MAX_WRITE_LINES = 500


class LogSink:
    """An eliot destination with a bounded queue and a greenlet that writes.

    Parameters
    ----------
    fd : int
        Open file descriptor.
    metrics : Metrics
        Counts dropped lines as ``log.dropped``.
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
        """Open `path` for appending, or standard output when it is empty.

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
        """Take eliot's messages from now on."""
        self._writer = gevent.spawn(self._write_all)
        add_destinations(self)

    def stop(self, wait_s: float = 1.0) -> None:
        """Take no more messages and wait a little for those that are queued."""
        remove_destination(self)
        self._ready.set()
        with gevent.Timeout(wait_s, False):
            while self._lines:
                gevent.sleep(0.01)
        if self._writer is not None:
            self._writer.kill(block=False)

    def __call__(self, message: dict[str, object]) -> None:
        """Queue one message."""
        if len(self._lines) >= MAX_LINES:
            self._metrics.incr("log.dropped")
            return
        self._lines.append(_encode(message))
        self._ready.set()

    def _write_all(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                count = min(len(self._lines), MAX_WRITE_LINES)
                data = b"".join(self._lines.popleft() for _ in range(count))
                self._write(data)

    def _write(self, data: bytes) -> None:
        while data:
            try:
                # A thread writes, because a full pipe would stop all greenlets.
                written = gevent.os.tp_write(self._fd, data)
            except OSError:
                self._metrics.incr("log.dropped")
                return
            data = data[written:]


def _encode(message: dict[str, object]) -> bytes:
    return msgspec.json.encode(message, enc_hook=json_default) + b"\n"
