"""Dependencies that a daemon needs in addition to its settings."""

import random

from msgspec import Struct

from lacewingpond.settings.load import read_secret
from lacewingpond.settings.model import Settings
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class DaemonContext(Struct):
    """Clock, random generator, log, metrics and secrets of one daemon.

    Parameters
    ----------
    clock : Clock
        Clock of all components.
    rng : random.Random
        Source of all random choices, except for the incarnation.
    log : DecisionLog
        Log of all components.
    metrics : Metrics
        Metrics of all components.
    fleet_secret : bytes
        Shared secret with which VMs authenticate each other.
    operator_token : bytes
        Bearer token of the operators' API.
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
    ) -> "DaemonContext":
        """Return the dependencies, with the secrets that `cfg` names.

        Raises
        ------
        OSError, KeyError
            If a secret can't be read; checked settings name readable secrets.
        """
        return cls(
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
            fleet_secret=read_secret(cfg.fleet_secret),
            operator_token=read_secret(cfg.operator_token),
        )
