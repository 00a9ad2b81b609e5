"""Normal rates of bad outcomes of a service, from the target's peers."""

import math
import statistics
from collections.abc import Iterable

from lacewingpond.health.decayed import DecayedRate

SHORT_HALF_LIFE_S = 2.0
LONG_HALF_LIFE_S = 60.0
PRIOR_OUTCOMES = 5.0
"""Assumed outcomes at the minimum rate from which each leave-one-out rate starts."""
MAX_RATE = 0.95


def lower_bound_rate(bad: float, total: float, min_rate: float, prior: float) -> float:
    """Return a rate about one standard error below the observed one.

    The highest of several rates is taken as normal, so rates that are high by
    chance would raise it.

    Parameters
    ----------
    bad, total : float
        Bad and all outcomes.
    min_rate : float
        Rate that is assumed without outcomes, and the lowest one returned.
    prior : float
        Number of outcomes as which the assumed rate counts.
    """
    certain = max(bad - math.sqrt(max(bad, 0.0)), 0.0)
    return max((certain + min_rate * prior) / (total + prior), min_rate)


class PeerRates:
    """Recent rates of bad outcomes by target.

    Parameters
    ----------
    min_rate : float
        Lowest rate that `peer_rate` returns.
    """

    __slots__ = (
        "_min_rate",
        "_latest",
        "_short",
        "_long",
        "_latest_sum",
        "_short_sum",
        "_median",
    )

    def __init__(self, min_rate: float) -> None:
        self._min_rate = min_rate
        self._latest: dict[int, DecayedRate] = {}
        self._short: dict[int, DecayedRate] = {}
        self._long: dict[int, DecayedRate] = {}
        self._latest_sum = DecayedRate(SHORT_HALF_LIFE_S)
        self._short_sum = DecayedRate(SHORT_HALF_LIFE_S)
        self._median = min_rate

    def begin_period(self, now: float) -> None:
        """Begin a period; the counts of earlier ones decay."""
        self._latest.clear()
        for rate in self._short.values():
            rate.decay_to(now)

    def add(self, now: float, target: int, bad: int, total: int) -> None:
        """Count the outcomes of one target in the current period."""
        if target not in self._short:
            self._short[target] = DecayedRate(SHORT_HALF_LIFE_S)
            self._long[target] = DecayedRate(LONG_HALF_LIFE_S)
        latest = self._latest[target] = DecayedRate(SHORT_HALF_LIFE_S)
        for rate in (latest, self._short[target], self._long[target]):
            rate.add(now, bad, total)

    def end_period(self) -> None:
        """Update the sums over all targets and the median long-term rate."""
        self._latest_sum = _sum_of(self._latest.values())
        self._short_sum = _sum_of(self._short.values())
        self._median = statistics.median(self._long_rates() or [self._min_rate])

    def keep_only(self, targets: Iterable[int]) -> None:
        """Remove all targets but `targets`."""
        wanted = set(targets)
        for gone in [target for target in self._short if target not in wanted]:
            del self._short[gone]
            del self._long[gone]

    def peer_rate(self, target: int) -> float:
        """Return the normal rate for `target`.

        It is the highest of three: the rate of the other targets in the latest
        period, their rate over a few seconds, and the median target's rate over
        minutes.
        """
        rate = max(
            self._without(self._latest_sum, self._latest.get(target)),
            self._without(self._short_sum, self._short.get(target)),
            self._median,
            self._min_rate,
        )
        return min(rate, MAX_RATE)

    def _without(self, combined: DecayedRate, own: DecayedRate | None) -> float:
        bad, total = combined.bad, combined.total
        if own is not None:
            bad -= own.bad
            total -= own.total
        return lower_bound_rate(bad, total, self._min_rate, PRIOR_OUTCOMES)

    def _long_rates(self) -> list[float]:
        return [
            (rate.bad + self._min_rate) / (rate.total + 1.0)
            for rate in self._long.values()
            if rate.total > 1.0
        ]


def _sum_of(rates: Iterable[DecayedRate]) -> DecayedRate:
    combined = DecayedRate(SHORT_HALF_LIFE_S)
    for rate in rates:
        combined.bad += rate.bad
        combined.total += rate.total
    return combined
