"""Loops that must not end while their process runs."""

from collections.abc import Callable

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

RESTART_PAUSE_S = 1.0  # keeps a loop that fails at once from filling the log


def keep_running(
    name: str, loop: Callable[[], None], clock: Clock, log: DecisionLog
) -> None:
    """Run `loop` for ever; log an error that ends it, and begin again after a pause."""
    while True:
        try:
            loop()
        except Exception as exc:
            log.decision("loop", name, f"failed: {type(exc).__name__}: {exc}")
        clock.sleep(RESTART_PAUSE_S)
