"""`lacewingpond serve`: the entry daemon."""

import gc
import random
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err

from lacewingpond.daemon.daemon import Daemon
from lacewingpond.daemon.surroundings import Surroundings
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
    """Runs a daemon until it is told to stop."""

    name = "serve"
    description = "Run the entry daemon of this VM."
    help = (
        "Example: <info>lacewingpond serve settings.toml</info>\n"
        "SIGTERM and SIGINT start a planned stop, which cuts no request."
    )
    arguments = [argument("settings", "Path of the settings file.")]

    def handle(self) -> int:
        """Run the command."""
        cfg = _read(Path(self.argument("settings")))
        metrics = _metrics(cfg)
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
        around = Surroundings.from_settings(
            cfg, RuntimeClock(), rng, _decisions(cfg, rng), metrics
        )
        try:
            daemon = Daemon.from_settings(cfg, around)
            daemon.start()
        except OSError as exc:
            raise UserError(f"can't listen: {exc}") from exc
        self.line_error(
            f"{daemon.vm_id}: callers at {daemon.caller_address}, "
            f"peers at {daemon.peer_address}, operators at {daemon.operator_address}"
        )
        # A full collection over what start-up left takes 17 ms, in which nothing runs.
        gc.freeze()
        wait_for_stop()
        return 1 if daemon.stop() else 0


def _read(path: Path) -> Settings:
    outcome = load_settings(path)
    if isinstance(outcome, Err):
        raise UserError("; ".join(str(finding) for finding in outcome.err_value))
    return outcome.ok_value


def _metrics(cfg: Settings) -> Metrics:
    if not cfg.metrics.statsd:
        return NullMetrics()
    host, port = parse_address(cfg.metrics.statsd)
    return StatsdMetrics(host, port, cfg.metrics.prefix)


def _decisions(cfg: Settings, rng: random.Random) -> DecisionLog:
    if cfg.log.level == "none":
        return NullDecisionLog()
    sample = cfg.log.sample if cfg.log.level == "decisions" else 0.0
    return EliotDecisionLog(cfg.vm.id, sample, rng=rng)
