"""Balances the requests of each service over the failure domains of its targets."""

from collections.abc import Collection

from msgspec import Struct

from lacewingpond.entry.balance.controller import SpillController
from lacewingpond.entry.balance.domain_weights import home_of, with_far
from lacewingpond.entry.balance.loads import ServiceLoads, measured_loads
from lacewingpond.entry.balance.reports import DomainReports
from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.settings import BalanceSettings
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

UPDATE_INTERVAL_S = 0.25  # half of the interval of the reports
MAX_ELAPSED_S = 2.0  # after a pause of the requests, what was known before has no use
# Shares above `far_share` at which the log says that requests spill, and that they
# return; far enough apart that random changes of the load are not logged.
SPILL_LOGGED, RETURN_LOGGED = 0.1, 0.03


class _Division(Struct):
    """Weights of one service, and what they were computed from."""

    at: float
    weights: dict[str, float]
    controller: SpillController
    spilling: bool = False


class DomainBalance:
    """Weighs failure domains by the loads of their targets.

    Parameters
    ----------
    cfg : BalanceSettings
        Thresholds.
    table : TargetTable
        The targets with their loads.
    fleet : Fleet
        Number of VMs in each failure domain.
    reports : DomainReports
        Reports of the other failure domains.
    clock : Clock
        Time source.
    log : DecisionLog
        Log of services that begin or cease to spill.

    Attributes
    ----------
    cfg : BalanceSettings
        Thresholds.
    """

    __slots__ = ("cfg", "_table", "_fleet", "_reports", "_clock", "_log")
    __slots__ += ("_divisions", "_measured")

    def __init__(
        self,
        cfg: BalanceSettings,
        table: TargetTable,
        fleet: Fleet,
        reports: DomainReports,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.cfg = cfg
        self._table = table
        self._fleet = fleet
        self._reports = reports
        self._clock = clock
        self._log = log
        self._divisions: dict[str, _Division] = {}
        self._measured: dict[str, tuple[float, ServiceLoads]] = {}

    def load(self, service: str) -> float:
        """Return the measured requests in flight of the whole fleet per usable slot.

        The slots of evacuated failure domains do not count.
        """
        return self._loads(service).per_slot()

    def spilled_share(self, service: str) -> float:
        """Return the share of a service's requests that spills to far targets."""
        division = self._divisions.get(service)
        return division.controller.share if division is not None else 0.0

    def weights(
        self, service: str, usable: Collection[TargetState]
    ) -> dict[str, float]:
        """Return the weight of each failure domain that has usable targets.

        The weights add up to 1. They are computed at most once every
        `UPDATE_INTERVAL_S`, unless other domains have usable targets than before.

        Parameters
        ----------
        service : str
            Service.
        usable : collection of TargetState
            Targets that may get requests.
        """
        now = self._clock.now()
        division = self._divisions.get(service)
        if division is None:
            controller = SpillController(self.cfg.spill_from)
            division = _Division(float("-inf"), {}, controller)
            self._divisions[service] = division
        slots: dict[str, int] = {}
        for state in usable:
            domain = state.spec.failure_domain
            slots[domain] = slots.get(domain, 0) + state.spec.slots
        known = division.weights.keys() == slots.keys()
        if not known or now - division.at >= UPDATE_INTERVAL_S:
            division.weights = self._divide(service, slots, division, now)
            division.at = now
        return division.weights

    def keep_only(self, services: frozenset[str]) -> None:
        """Forget all other services."""
        self._divisions = {k: v for k, v in self._divisions.items() if k in services}
        self._measured = {k: v for k, v in self._measured.items() if k in services}

    def _divide(
        self, service: str, slots: dict[str, int], division: _Division, now: float
    ) -> dict[str, float]:
        if not slots:
            return {}
        cfg, loads = self.cfg, self._loads(service)
        sizes = self._live_sizes()
        domain = self._fleet.failure_domain
        received = loads.others.get(domain, 0.0)
        home = home_of(domain, slots, received, sizes)
        if not home.weights:
            return with_far(home, slots, loads.demand, 0.0, 0.0, 1.0)
        total = sum(loads.own.get(d, 0.0) + loads.others.get(d, 0.0) for d in slots)
        mean_load = total / sum(slots.values())
        at_home = sum(loads.own.get(d, 0.0) for d in home.weights)
        near_load = (at_home + received) / home.slots
        division.controller.spill_from = cfg.spill_from
        share = division.controller.update(
            min(now - division.at, MAX_ELAPSED_S),
            near_load,
            mean_load,
            loads.demand[domain] / home.slots,
        )
        self._log_change(service, division, near_load, mean_load)
        level = max(mean_load, cfg.spill_from)
        return with_far(home, slots, loads.demand, cfg.far_share, share, level)

    def _loads(self, service: str) -> ServiceLoads:
        now = self._clock.now()
        known = self._measured.get(service)
        if known is not None and now - known[0] < UPDATE_INTERVAL_S:
            return known[1]
        states = self._table.remaining(service)
        domain, sizes = self._fleet.failure_domain, self._live_sizes()
        loads = measured_loads(service, states, domain, sizes, self._reports, now)
        self._measured[service] = (now, loads)
        return loads

    def _live_sizes(self) -> dict[str, int]:
        """Return the number of VMs in each failure domain that has not lost them."""
        lost = self._reports.lost()
        sizes = self._fleet.domain_sizes()
        return {domain: n for domain, n in sizes.items() if domain not in lost}

    def _log_change(
        self, service: str, division: _Division, near_load: float, mean_load: float
    ) -> None:
        share = division.controller.share
        spare = share - self.cfg.far_share
        spills = spare >= (RETURN_LOGGED if division.spilling else SPILL_LOGGED)
        if spills != division.spilling:
            division.spilling = spills
            self._log.decision(
                "balance",
                service,
                "spills" if division.spilling else "near",
                share=round(share, 2),
                near_load=round(near_load, 2),
                mean_load=round(mean_load, 2),
            )
