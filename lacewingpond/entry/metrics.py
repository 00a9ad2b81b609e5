"""Starts the metrics endpoint, if the settings name an address for it."""

from lacewingpond.entry.daemon import http_options
from lacewingpond.entry.settings import EntrySettings
from lacewingpond.http.server import CallerServer
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


def serve_metrics(cfg: EntrySettings, log: DecisionLog, clock: Clock) -> DecisionLog:
    """Start the metrics endpoint and return a log that counts decisions for it.

    The returned log forwards each decision to `log`.

    Returns
    -------
    DecisionLog
        `log` itself if no address is set or the metrics library is missing.

    Raises
    ------
    OSError
        If the server can't listen on the address.
    """
    if not cfg.metrics.address:
        return log
    try:
        # Its library takes a megabyte of memory, which most fleets don't need.
        from lacewingpond.telemetry.decision_metrics import DecisionMetrics
    except ImportError as exc:
        log.decision("metrics", cfg.metrics.address, f"off: {exc}")
        return log
    metrics = DecisionMetrics(log, cfg.metrics.path, clock)
    options = http_options(cfg.metrics.address, cfg.vm.descriptors)
    CallerServer.from_options(options, metrics.handle, log, clock).start()
    return metrics
