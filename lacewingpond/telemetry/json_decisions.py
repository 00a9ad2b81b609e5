"""Writes decisions as lines of JSON, without a library and without blocking."""

import os

import gevent
import msgspec

from lacewingpond.util.clock import Clock

FLUSH_S = 0.1  # a line is written soon enough to be there after a crash
MAX_HELD_BYTES = 262_144  # lines beyond are dropped and counted while nobody reads


class JsonDecisionLog:
    """Gathers lines and writes them to a descriptor that does not block.

    Parameters
    ----------
    fd : int
        Open file descriptor.
    vm_id : str
        Added to each line.
    clock : Clock
        Dates lines.
    left_out : frozenset of str
        Kinds of decision that are not written.
    """

    __slots__ = ("_fd", "_vm_id", "_clock", "_held", "_size", "_dropped", "_flusher")
    __slots__ += ("_left_out",)

    def __init__(
        self, fd: int, vm_id: str, clock: Clock, left_out: frozenset[str] = frozenset()
    ) -> None:
        self._left_out = left_out
        self._fd = fd
        self._vm_id = vm_id
        self._clock = clock
        self._held: list[bytes] = []
        self._size = 0
        self._dropped = 0
        self._flusher: gevent.Greenlet | None = None
        os.set_blocking(fd, False)

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Write one decision; `fields` hold plain values and never a key."""
        if what in self._left_out:
            return
        line = {"t": round(self._clock.wall(), 3), "vm": self._vm_id}
        line.update(what=what, which=which, why=why, **fields)
        self._hold(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if self._dropped and self._size < MAX_HELD_BYTES:
            dropped, self._dropped = self._dropped, 0
            self.decision("log", "lines", "dropped", count=dropped)
        data = b"".join(self._held)
        written = 0
        try:
            while written < len(data):
                written += os.write(self._fd, data[written : written + 65_536])
        except BlockingIOError:
            # The rest waits for the next time.
            pass
        except OSError:
            # Nobody reads any more; there is no other place to tell that.
            written = len(data)
        rest = data[written:]
        self._held = [rest] if rest else []
        self._size = len(rest)

    def _hold(self, line: bytes) -> None:
        if self._size + len(line) > MAX_HELD_BYTES:
            self._dropped += 1
            return
        self._held.append(line)
        self._size += len(line)
        if self._flusher is None:
            self._flusher = gevent.spawn_later(FLUSH_S, self._flush_later)

    def _flush_later(self) -> None:
        self._flusher = None
        self.flush()
        if self._held:
            self._flusher = gevent.spawn_later(FLUSH_S, self._flush_later)
