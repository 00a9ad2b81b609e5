"""Reloads the settings file when it changes."""

from collections.abc import Callable
from pathlib import Path

from gevent.event import Event

from lacewingpond.entry.settings import EntrySettings, load_entry_settings
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

POLL_INTERVAL_S = 1.0  # half of the usual bound for applying a change

FileState = tuple[int, int]
"""Modification time in ns and size of a file."""


def file_state(path: Path) -> FileState | None:
    """Return the state of a file, or None if it can't be read."""
    try:
        stat = path.stat()
    except OSError:
        # Who reads the file next reports what is wrong with it.
        return None
    return (stat.st_mtime_ns, stat.st_size)


class SettingsFile:
    """Reloads the file after a change, or when `request_reload` is called.

    Parameters
    ----------
    path : Path
        Settings file.
    state : tuple of int or None
        State of the file before the current settings were read, so that a change
        since then is noticed.
    apply : callable
        Receives new settings that are valid.
    clock : Clock
        Times the polls.
    log : DecisionLog
        Log of reloads and problems of the file.
    """

    __slots__ = ("_path", "_apply", "_clock", "_log", "_reload_requested")
    __slots__ += ("_last_state",)

    def __init__(
        self,
        path: Path,
        state: FileState | None,
        apply: Callable[[EntrySettings], None],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._path = path
        self._apply = apply
        self._clock = clock
        self._log = log
        self._reload_requested = Event()
        self._last_state = state

    def request_reload(self) -> None:
        """Request a reload and return at once; safe to call in a signal handler."""
        self._reload_requested.set()

    def run(self) -> None:
        """Reload the file after each change or request; never returns."""
        while True:
            requested = wait_for(self._reload_requested, self._clock, POLL_INTERVAL_S)
            self._reload_requested.clear()
            state = file_state(self._path)
            if requested or state != self._last_state:
                self._last_state = state
                self._load("after a signal" if requested else "after a change")

    def _load(self, why: str) -> None:
        loaded = load_entry_settings(self._path)
        if loaded.is_err():
            for finding in loaded.err_value:
                self._log.decision("reload", str(finding), "kept the last settings")
            return
        self._log.decision("reload", str(self._path), why)
        self._apply(loaded.ok_value)
