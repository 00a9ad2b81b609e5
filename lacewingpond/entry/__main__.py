"""Runs the entry daemon.

A command of its own, apart from the product's command line, because the modules that
it does not load save memory on every VM.
"""

import os
import random
import signal
import sys
from pathlib import Path

# SIGHUP would end the process. Until the daemon can reload its settings it is ignored;
# a change of the file in that time is noticed by its state.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gevent  # noqa: E402
from gevent import monkey  # noqa: E402

monkey.patch_socket(dns=False)
monkey.patch_select()

from result import Err  # noqa: E402

from lacewingpond.entry.daemon import EntryDaemon  # noqa: E402
from lacewingpond.entry.metrics import serve_metrics  # noqa: E402
from lacewingpond.entry.settings import EntrySettings, load_entry_settings  # noqa: E402
from lacewingpond.entry.settings_file import (  # noqa: E402
    FileState,
    SettingsFile,
    file_state,
)
from lacewingpond.platform.formats import FORMATS  # noqa: E402
from lacewingpond.platform.names import HEADERS, READY_PATH  # noqa: E402
from lacewingpond.platform.store import PlatformStore  # noqa: E402
from lacewingpond.telemetry.json_decisions import JsonDecisionLog  # noqa: E402
from lacewingpond.ui.signals import on_reload, wait_for_stop  # noqa: E402
from lacewingpond.util.address import parse_address  # noqa: E402
from lacewingpond.util.clock import RuntimeClock  # noqa: E402
from lacewingpond.util.keep_running import keep_running  # noqa: E402

SETTINGS_VARIABLE = "LACEWINGPOND_SETTINGS"
USAGE_STATUS = 2
PER_REQUEST_EVENTS = frozenset({"admission", "attempt", "route"})
"""Log events that a busy daemon writes hundreds of times a second."""


def main() -> int:
    """Run the daemon until a stop signal and return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(
            f"lacewingpond: {SETTINGS_VARIABLE} is not set; "
            "it must name the settings file",
            file=sys.stderr,
        )
        return USAGE_STATUS
    state = file_state(Path(path))
    loaded = load_entry_settings(Path(path))
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(f"lacewingpond: {finding}", file=sys.stderr)
        return USAGE_STATUS
    return serve(loaded.ok_value, Path(path), state)


def serve(cfg: EntrySettings, path: Path, state: FileState | None) -> int:
    """Run the daemon until a stop signal and return the exit status.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    path : Path
        File that they were read from; it is reloaded after changes.
    state : tuple of int or None
        State of the file before it was read.
    """
    clock, rng = RuntimeClock(), random.Random()
    omitted = frozenset() if cfg.log.level == "decisions" else PER_REQUEST_EVENTS
    json_log = JsonDecisionLog(sys.stdout.fileno(), cfg.vm.id, clock, omitted)
    store = PlatformStore(*parse_address(cfg.store.address))
    try:
        log = serve_metrics(cfg, json_log, clock)
        daemon = EntryDaemon(cfg, HEADERS, FORMATS, READY_PATH, store, clock, rng, log)
        daemon.start()
    except OSError as exc:
        print(f"lacewingpond: can't listen: {exc}", file=sys.stderr)
        return 1
    log.decision("start", cfg.vm.id, "serving", domain=cfg.vm.failure_domain)
    settings_file = SettingsFile(path, state, daemon.apply_settings, clock, log)
    on_reload(settings_file.request_reload)
    gevent.spawn(keep_running, "settings", settings_file.run, clock, log)
    wait_for_stop()
    daemon.stop()
    json_log.flush()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
