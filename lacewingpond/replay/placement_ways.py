"""Ways to choose a target, side by side."""

import random
from collections.abc import Callable
from typing import Protocol

from lacewingpond.config.model import Config
from lacewingpond.health.verdict import HEALTHY, Verdict
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import Placer
from lacewingpond.replay.station import Station
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import PausedClock

HOP_S = 0.0005
"""One way between two VMs, in seconds."""
MAX_BOUNCES = 2


class Choice:
    """A chosen target, what it cost, and what to do at the end.

    Parameters
    ----------
    target_id : str
        The target.
    delay_s : float
        Time that forwarding adds, in seconds.
    done : callable
        Takes the load that the target reports with its answer.
    """

    __slots__ = ("target_id", "delay_s", "done")

    def __init__(
        self, target_id: str, done: Callable[[float], None], delay_s: float = 0.0
    ) -> None:
        self.target_id = target_id
        self.done = done
        self.delay_s = delay_s


class PlacementWay(Protocol):
    """Chooses targets for all VMs."""

    def choose(self, vm: int) -> Choice:
        """Choose a target for a request that came to VM number `vm`."""
        ...


class RandomWay:
    """Any target, with equal chance."""

    __slots__ = ("_stations", "_rng")

    def __init__(self, stations: list[Station], rng: random.Random) -> None:
        self._stations = stations
        self._rng = rng

    def choose(self, vm: int) -> Choice:
        """Choose a random target."""
        station = self._rng.choice(self._stations)
        return Choice(station.name, lambda load: None)


class PlacerWay:
    """The daemon's own placement, with or without reported load."""

    __slots__ = ("_placers", "_service", "_hears_load")

    def __init__(
        self,
        cfg: Config,
        domains: list[str],
        clock: PausedClock,
        rng: random.Random,
        options: PlacementOptions,
        hears_load: bool,
    ) -> None:
        self._service = cfg.services[0].name
        self._hears_load = hears_load
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
        """Choose as VM number `vm` does."""
        placement = self._placers[vm].pick(self._service).unwrap()

        def done(load: float) -> None:
            placement.done(load if self._hears_load else None)

        return Choice(placement.target.target_id, done)


class DispatcherWay:
    """One VM sends all requests of a target and so knows its load.

    The VM that got the request forwards it to the dispatcher of a random
    target, which passes it on to another one while its own target is full.
    """

    __slots__ = ("_stations", "_rng", "_in_flight")

    def __init__(self, stations: list[Station], rng: random.Random) -> None:
        self._stations = stations
        self._rng = rng
        self._in_flight = {station.name: 0 for station in stations}

    def choose(self, vm: int) -> Choice:
        """Forward until a target has a free slot, or the bounces are used up."""
        hops = 0
        for _ in range(1 + MAX_BOUNCES):
            hops += 1
            station = self._rng.choice(self._stations)
            if self._in_flight[station.name] < station.slots:
                break
        name = station.name
        self._in_flight[name] += 1

        def done(load: float) -> None:
            self._in_flight[name] -= 1

        return Choice(name, done, delay_s=(hops + 1) * HOP_S)


class _AllHealthy:
    __slots__ = ()

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Find every target healthy."""
        return HEALTHY
