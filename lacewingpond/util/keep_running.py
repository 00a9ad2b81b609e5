"""Restarts background loops that fail."""

from collections.abc import Callable

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

RESTART_PAUSE_S = 1.0  # so that a loop that fails at once does not flood the log


def keep_running(
    name: str, loop: Callable[[], None], clock: Clock, log: DecisionLog
) -> None:
    """Run `loop` forever; when it ends, log its error and restart it after a pause.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    loop : callable
        Runs until it fails.
    clock : Clock
        Measures the pause.
    log : DecisionLog
        Receives errors.
    """
    while True:
        try:
            loop()
        except Exception as exc:
            log.decision("loop", name, f"failed: {type(exc).__name__}: {exc}")
        clock.sleep(RESTART_PAUSE_S)
