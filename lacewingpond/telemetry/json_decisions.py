"""Writes decisions as JSON lines, without eliot and without blocking."""

import os

import gevent
import msgspec

from lacewingpond.util.clock import Clock

FLUSH_INTERVAL_S = 0.1  # short, so that few lines are lost in a crash
MAX_PENDING_BYTES = 262_144  # further lines are dropped while the reader is stuck


class JsonDecisionLog:
    """Writes lines through a bounded buffer, which drops lines while it is full.

    Lines beyond `MAX_PENDING_BYTES` are dropped and their number is logged.

    Parameters
    ----------
    fd : int
        Open file descriptor; it is made non-blocking.
    vm_id : str
        Added to each line.
    clock : Clock
        Provides the timestamps of lines.
    excluded : frozenset of str
        Events that are not written.
    """

    __slots__ = (
        "_fd",
        "_vm_id",
        "_clock",
        "_pending",
        "_pending_bytes",
        "_dropped",
        "_flusher",
    )
    __slots__ += ("_excluded",)

    def __init__(
        self, fd: int, vm_id: str, clock: Clock, excluded: frozenset[str] = frozenset()
    ) -> None:
        self._excluded = excluded
        self._fd = fd
        self._vm_id = vm_id
        self._clock = clock
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._dropped = 0
        self._flusher: gevent.Greenlet | None = None
        os.set_blocking(fd, False)

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Buffer one decision; `fields` hold plain values and never an API key."""
        if what in self._excluded:
            return
        line = {"t": round(self._clock.wall(), 3), "vm": self._vm_id}
        line.update(what=what, which=which, why=why, **fields)
        self._append(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self._dropped and self._pending_bytes < MAX_PENDING_BYTES:
            dropped, self._dropped = self._dropped, 0
            self.decision("log", "lines", "dropped", count=dropped)
        data = b"".join(self._pending)
        written = 0
        try:
            while written < len(data):
                written += os.write(self._fd, data[written : written + 65_536])
        except BlockingIOError:
            # The rest stays buffered until the next flush.
            pass
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            written = len(data)
        rest = data[written:]
        self._pending = [rest] if rest else []
        self._pending_bytes = len(rest)

    def _append(self, line: bytes) -> None:
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        if self._flusher is None:
            self._flusher = gevent.spawn_later(FLUSH_INTERVAL_S, self._on_flush_timer)

    def _on_flush_timer(self) -> None:
        self._flusher = None
        self.flush()
        if self._pending:
            self._flusher = gevent.spawn_later(FLUSH_INTERVAL_S, self._on_flush_timer)
