"""What a daemon is made from besides its settings."""

import random

from msgspec import Struct

from lacewingpond.settings.load import read_secret
from lacewingpond.settings.model import Settings
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class Surroundings(Struct):
    """Time, chance, secrets and the sinks of logs and metrics.

    Parameters
    ----------
    clock : Clock
        Time of the whole daemon.
    rng : random.Random
        All of its random choices.
    log : DecisionLog
        Takes its decisions.
    metrics : Metrics
        Takes its counts.
    fleet_secret, operator_token : bytes
        Secrets that the settings name.
    """

    clock: Clock
    rng: random.Random
    log: DecisionLog
    metrics: Metrics
    fleet_secret: bytes
    operator_token: bytes

    @classmethod
    def from_settings(
        cls,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "Surroundings":
        """Read the secrets that `cfg` names, which has been checked before."""
        return cls(
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
            fleet_secret=read_secret(cfg.fleet_secret),
            operator_token=read_secret(cfg.operator_token),
        )
