"""Placement strategies that replays compare."""

import random
from collections.abc import Callable
from typing import Protocol

from lacewingpond.config.model import Config
from lacewingpond.health.verdict import HEALTHY, Verdict
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import Placer
from lacewingpond.replay.simulated_target import SimulatedTarget
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock

HOP_DELAY_S = 0.0005
"""One-way delay between two VMs."""
MAX_FORWARDS = 2


class Choice:
    """A chosen target and the delay that the choice added.

    Parameters
    ----------
    target_id : str
        The target.
    done : callable
        Called at the end of the request with the load that the target reports.
    delay_s : float
        One-way delay added by forwarding, in seconds.
    """

    __slots__ = ("target_id", "delay_s", "done")

    def __init__(
        self, target_id: str, done: Callable[[float], None], delay_s: float = 0.0
    ) -> None:
        self.target_id = target_id
        self.done = done
        self.delay_s = delay_s


class PlacementStrategy(Protocol):
    """Chooses targets on behalf of all VMs."""

    def choose(self, vm: int) -> Choice:
        """Return the choice for a request that arrived at VM number `vm`."""
        ...


class RandomStrategy:
    """Chooses each target with equal probability."""

    __slots__ = ("_targets", "_rng")

    def __init__(self, targets: list[SimulatedTarget], rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng

    def choose(self, vm: int) -> Choice:
        """Return a random target."""
        target = self._rng.choice(self._targets)
        return Choice(target.name, lambda load: None)


class PlacerStrategy:
    """The daemon's placement, with or without the load that targets report.

    Parameters
    ----------
    cfg : Config
        The configuration, whose first service is used.
    domains : list of str
        Failure domain of each VM.
    clock : ManualClock
        Source of time.
    rng : random.Random
        Source of the VMs' random choices.
    options : PlacementOptions
        Options of the placement.
    uses_reported_load : bool
        Whether the VMs learn the load that targets report.
    """

    __slots__ = ("_placers", "_service", "_uses_reported_load")

    def __init__(
        self,
        cfg: Config,
        domains: list[str],
        clock: ManualClock,
        rng: random.Random,
        options: PlacementOptions,
        uses_reported_load: bool,
    ) -> None:
        self._service = cfg.services[0].name
        self._uses_reported_load = uses_reported_load
        self._placers = []
        for number, domain in enumerate(domains):
            placer = Placer.from_options(
                options,
                f"vm-{number}",
                domain,
                clock,
                rng,
                _AllHealthy(),
                NullDecisionLog(),
                CountingMetrics(),
            )
            placer.configure(cfg)
            self._placers.append(placer)

    def choose(self, vm: int) -> Choice:
        """Return the choice of VM number `vm`."""
        placement = self._placers[vm].pick(self._service).unwrap()

        def done(load: float) -> None:
            placement.done(load if self._uses_reported_load else None)

        return Choice(placement.target.target_id, done)


class DispatcherStrategy:
    """One VM dispatches all requests of a target and therefore knows its load.

    The VM that received the request forwards it to the dispatcher of a random target.
    A dispatcher whose target has no free slot forwards the request to that of another
    random target, at most `MAX_FORWARDS` times.
    """

    __slots__ = ("_targets", "_rng", "_in_flight")

    def __init__(self, targets: list[SimulatedTarget], rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._in_flight = {target.name: 0 for target in targets}

    def choose(self, vm: int) -> Choice:
        """Return the first drawn target with a free slot, or the last one drawn."""
        hops = 0
        for _ in range(1 + MAX_FORWARDS):
            hops += 1
            target = self._rng.choice(self._targets)
            if self._in_flight[target.name] < target.slots:
                break
        name = target.name
        self._in_flight[name] += 1

        def done(load: float) -> None:
            self._in_flight[name] -= 1

        return Choice(name, done, delay_s=(hops + 1) * HOP_DELAY_S)


class _AllHealthy:
    __slots__ = ()

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Return `HEALTHY` for every target."""
        return HEALTHY
