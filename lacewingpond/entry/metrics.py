"""Starts the page of counters and latencies, if the settings ask for one."""

from lacewingpond.entry.daemon import http_options
from lacewingpond.entry.settings import EntrySettings
from lacewingpond.http.server import CallerServer
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


def with_metrics(cfg: EntrySettings, log: DecisionLog, clock: Clock) -> DecisionLog:
    """Return a log that counts what it passes on to `log`, served as the settings say.

    Raises
    ------
    OSError
        If the address can't be listened on.
    """
    if not cfg.metrics.address:
        return log
    try:
        # Its library takes a megabyte, which most fleets would pay for nothing.
        from lacewingpond.telemetry.decision_metrics import DecisionMetrics
    except ImportError as exc:
        log.decision("metrics", cfg.metrics.address, f"off: {exc}")
        return log
    metrics = DecisionMetrics(log, cfg.metrics.path)
    options = http_options(cfg.metrics.address, cfg.vm.descriptors)
    CallerServer.from_options(options, metrics.handle, log, clock).start()
    return metrics
