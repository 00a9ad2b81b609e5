"""What is normal for a service: the rates of its targets, side by side."""

import math
import statistics
from collections.abc import Iterable

from lacewingpond.health.decayed import DecayedRate

SHORT_HALF_LIFE_S = 2.0
LONG_HALF_LIFE_S = 60.0
PRIOR_TOTAL = 5.0
"""Outcomes at the least rate that each leave-one-out rate starts from."""
MAX_RATE = 0.95


def cautious_rate(bad: float, total: float, least: float, prior: float) -> float:
    """Return a rate that is about one standard error below the observed one.

    The greatest of several rates is taken as normal, so chance would raise it.

    Parameters
    ----------
    bad, total : float
        Bad and all outcomes.
    least : float
        Rate that is assumed without outcomes.
    prior : float
        Outcomes that the assumption counts for.
    """
    certain = max(bad - math.sqrt(max(bad, 0.0)), 0.0)
    return max((certain + least * prior) / (total + prior), least)


class PeersRate:
    """Recent shares of bad outcomes by target.

    Parameters
    ----------
    least : float
        Least rate that is ever returned.
    """

    __slots__ = (
        "_least",
        "_latest",
        "_short",
        "_long",
        "_latest_sum",
        "_short_sum",
        "_median",
    )

    def __init__(self, least: float) -> None:
        self._least = least
        self._latest: dict[int, DecayedRate] = {}
        self._short: dict[int, DecayedRate] = {}
        self._long: dict[int, DecayedRate] = {}
        self._latest_sum = DecayedRate(SHORT_HALF_LIFE_S)
        self._short_sum = DecayedRate(SHORT_HALF_LIFE_S)
        self._median = least

    def begin(self, now: float) -> None:
        """Begin a period; the counts of earlier ones decay."""
        self._latest.clear()
        for rate in self._short.values():
            rate.age_to(now)

    def add(self, now: float, target: int, bad: int, total: int) -> None:
        """Count the outcomes of one target in the period."""
        if target not in self._short:
            self._short[target] = DecayedRate(SHORT_HALF_LIFE_S)
            self._long[target] = DecayedRate(LONG_HALF_LIFE_S)
        latest = self._latest[target] = DecayedRate(SHORT_HALF_LIFE_S)
        for rate in (latest, self._short[target], self._long[target]):
            rate.add(now, bad, total)

    def settle(self) -> None:
        """Sum up the period."""
        self._latest_sum = _sum_of(self._latest.values())
        self._short_sum = _sum_of(self._short.values())
        self._median = statistics.median(self._long_rates() or [self._least])

    def keep(self, targets: Iterable[int]) -> None:
        """Forget all targets but `targets`."""
        kept = set(targets)
        for gone in [target for target in self._short if target not in kept]:
            del self._short[gone]
            del self._long[gone]

    def beside(self, target: int) -> float:
        """Return the rate of the other targets: now, lately or over minutes."""
        rate = max(
            self._without(self._latest_sum, self._latest.get(target)),
            self._without(self._short_sum, self._short.get(target)),
            self._median,
            self._least,
        )
        return min(rate, MAX_RATE)

    def _without(self, whole: DecayedRate, own: DecayedRate | None) -> float:
        bad, total = whole.bad, whole.total
        if own is not None:
            bad -= own.bad
            total -= own.total
        return cautious_rate(bad, total, self._least, PRIOR_TOTAL)

    def _long_rates(self) -> list[float]:
        return [
            (rate.bad + self._least) / (rate.total + 1.0)
            for rate in self._long.values()
            if rate.total > 1.0
        ]


def _sum_of(rates: Iterable[DecayedRate]) -> DecayedRate:
    whole = DecayedRate(SHORT_HALF_LIFE_S)
    for rate in rates:
        whole.bad += rate.bad
        whole.total += rate.total
    return whole
