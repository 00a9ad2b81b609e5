"""Follows changes of the settings file."""

from collections.abc import Callable
from pathlib import Path

from gevent.event import Event

from lacewingpond.entry.settings import EntrySettings, load_entry_settings
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

POLL_S = 1.0  # a change without a signal is in force within half its usual bound


class SettingsFile:
    """Reads the file again when it has changed or when it is told to.

    Parameters
    ----------
    path : Path
        The file.
    apply : callable
        Takes new settings that were found good.
    clock : Clock
        Waits.
    log : DecisionLog
        Takes reloads and what is wrong with the file.
    """

    __slots__ = ("_path", "_apply", "_clock", "_log", "_told", "_seen")

    def __init__(
        self,
        path: Path,
        apply: Callable[[EntrySettings], None],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._path = path
        self._apply = apply
        self._clock = clock
        self._log = log
        self._told = Event()
        self._seen = self._state()

    def reload(self) -> None:
        """Read the file soon; safe to call from a signal's handler."""
        self._told.set()

    def run(self) -> None:
        """Follow the file for ever."""
        while True:
            told = wait_for(self._told, self._clock, POLL_S)
            self._told.clear()
            state = self._state()
            if told or state != self._seen:
                self._seen = state
                self._read("signal" if told else "changed")

    def _read(self, why: str) -> None:
        loaded = load_entry_settings(self._path)
        if loaded.is_err():
            for finding in loaded.err_value:
                self._log.decision("reload", str(finding), "kept the last settings")
            return
        self._log.decision("reload", str(self._path), why)
        self._apply(loaded.ok_value)

    def _state(self) -> tuple[int, int] | None:
        try:
            found = self._path.stat()
        except OSError as exc:
            self._log.decision("reload", str(self._path), f"can't be seen: {exc}")
            return None
        return (found.st_mtime_ns, found.st_size)
