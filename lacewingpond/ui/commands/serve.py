"""`lacewingpond serve`: runs the standalone daemon."""

import gc
import random
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err

from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.daemon import StandaloneDaemon
from lacewingpond.settings.load import load_settings
from lacewingpond.settings.model import Settings
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.eliot_decisions import EliotDecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.telemetry.null_metrics import NullMetrics
from lacewingpond.telemetry.sink import LogSink
from lacewingpond.telemetry.statsd_metrics import StatsdMetrics
from lacewingpond.ui.signals import wait_for_stop
from lacewingpond.util.address import parse_address
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.errors import UserError


class ServeCommand(Command):
    """Runs a standalone daemon until a signal stops it."""

    name = "serve"
    description = "Run the standalone daemon of this VM."
    help = (
        "Example: <info>lacewingpond serve settings.toml</info>\n"
        "SIGTERM and SIGINT start a planned stop, in which running requests finish.\n"
        "The exit status is 1 if a request was cut off."
    )
    arguments = [argument("settings", "Path of the settings file.")]

    def handle(self) -> int:
        """Run the command."""
        cfg = _load_settings(Path(self.argument("settings")))
        metrics = _create_metrics(cfg)
        try:
            sink = LogSink.from_path(cfg.log.file, metrics)
        except OSError as exc:
            raise UserError(f"{cfg.log.file}: {exc.strerror}") from exc
        sink.start()
        try:
            return self._serve(cfg, metrics)
        finally:
            sink.stop()

    def _serve(self, cfg: Settings, metrics: Metrics) -> int:
        rng = random.Random()
        context = DaemonContext.from_settings(
            cfg, RuntimeClock(), rng, _create_log(cfg, rng), metrics
        )
        try:
            daemon = StandaloneDaemon.from_settings(cfg, context)
            daemon.start()
        except OSError as exc:
            raise UserError(f"can't listen: {exc}") from exc
        self.line_error(
            f"{daemon.vm_id}: callers at {daemon.caller_address}, "
            f"peers at {daemon.peer_address}, operators at {daemon.operator_address}"
        )
        # Exclude the objects created so far from garbage collection: a full collection
        # over them takes 17 ms, during which no request is served.
        gc.freeze()
        wait_for_stop()
        return 1 if daemon.stop() else 0


def _load_settings(path: Path) -> Settings:
    outcome = load_settings(path)
    if isinstance(outcome, Err):
        raise UserError("; ".join(str(finding) for finding in outcome.err_value))
    return outcome.ok_value


def _create_metrics(cfg: Settings) -> Metrics:
    if not cfg.metrics.statsd:
        return NullMetrics()
    host, port = parse_address(cfg.metrics.statsd)
    return StatsdMetrics(host, port, cfg.metrics.prefix)


def _create_log(cfg: Settings, rng: random.Random) -> DecisionLog:
    if cfg.log.level == "none":
        return NullDecisionLog()
    sample = cfg.log.sample if cfg.log.level == "decisions" else 0.0
    return EliotDecisionLog(cfg.vm.id, sample, rng=rng)
