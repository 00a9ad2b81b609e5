"""Compares placement strategies, queue orders, concurrency limits and rate limits.

Run as ``python -m lacewingpond.replay.weighing NAME``, where NAME is
``placement``, ``queues``, ``concurrency`` or ``rates``.
"""

import statistics
import sys
from collections.abc import Callable, Iterator

from gevent import monkey
from msgspec import Struct

from lacewingpond.placement.options import PlacementOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.concurrency import ConcurrencyReplayer, Limit
from lacewingpond.replay.placement import PlacementReplayer, Strategy
from lacewingpond.replay.queues import Order, QueueReplayer
from lacewingpond.replay.rate_shares import play_shares
from lacewingpond.replay.rates import RatesReplayer

SEEDS = (1, 2, 3)


class ReplaySpec(Struct, frozen=True):
    """A replay of one trace with one of the compared variants."""

    trace: str
    way: str
    play: Callable[[], Measures]


def placement_specs(seed: int) -> Iterator[ReplaySpec]:
    """Yield the placement strategies, the daemon's with two and five drawn targets."""
    replayer = PlacementReplayer()
    variants = (
        (Strategy.RANDOM, 1),
        (Strategy.LOCAL, 2),
        (Strategy.LOCAL, 5),
        (Strategy.REPORTED, 2),
        (Strategy.REPORTED, 5),
        (Strategy.DISPATCHER, 1),
    )
    for name, trace in replayer.generate(seed):
        for strategy, choices in variants:
            options = PlacementOptions(choices=choices)
            yield ReplaySpec(
                name,
                f"{strategy.value} of {choices}",
                lambda t=trace, s=strategy, o=options: replayer.play_strategy(t, s, o),
            )


def queue_specs(seed: int) -> Iterator[ReplaySpec]:
    """Yield the queue orders, with and without early refusal."""
    replayer = QueueReplayer()
    variants = (
        (Order.FIFO, 0.0),
        (Order.FIFO, 0.5),
        (Order.DEADLINE, 0.0),
        (Order.DEADLINE, 0.5),
        (Order.ROUND_ROBIN, 0.5),
        (Order.WEIGHTED_ROUND_ROBIN, 0.5),
        (Order.FAIR, 0.0),
        (Order.FAIR, 0.5),
        (Order.FAIR, 1.0),
    )
    for name, trace in replayer.generate(seed):
        for order, ratio in variants:
            yield ReplaySpec(
                name,
                f"{order.value}, ratio {ratio}",
                lambda t=trace, o=order, r=ratio: replayer.play_order(t, o, r),
            )


def limit_specs(seed: int) -> Iterator[ReplaySpec]:
    """Yield the concurrency limits."""
    replayer = ConcurrencyReplayer()
    for name, trace in replayer.generate(seed):
        for limit in Limit:
            yield ReplaySpec(
                name, limit.value, lambda t=trace, x=limit: replayer.play_limit(t, x)
            )


def rate_specs(seed: int) -> Iterator[ReplaySpec]:
    """Yield two kinds of fleet-wide rate limits, and fixed fractions per VM."""
    replayer = RatesReplayer()
    for name, trace in replayer.generate(seed):
        yield ReplaySpec(
            name, "slices", lambda t=trace: replayer.play(t, Variant.CURRENT)
        )
        yield ReplaySpec(name, "shares", lambda t=trace: play_shares(t))
        yield ReplaySpec(
            name, "static", lambda t=trace: replayer.play(t, Variant.NAIVE)
        )


SPECS = {
    "placement": placement_specs,
    "queues": queue_specs,
    "concurrency": limit_specs,
    "rates": rate_specs,
}


def main(name: str) -> None:
    """Print the mean of each measure over `SEEDS`, by trace and variant.

    Parameters
    ----------
    name : str
        Key of `SPECS`.

    Raises
    ------
    KeyError
        If `name` is unknown.
    """
    measures_by_run: dict[tuple[str, str], list[Measures]] = {}
    for seed in SEEDS:
        for spec in SPECS[name](seed):
            key = (spec.trace, spec.way)
            measures_by_run.setdefault(key, []).append(spec.play())
    for (trace, way), runs in measures_by_run.items():
        means = {
            measure: statistics.mean(run[measure] for run in runs)
            for measure in runs[0]
        }
        text = "  ".join(f"{measure} {mean:.4g}" for measure, mean in means.items())
        print(f"{trace:24} {way:22} {text}")


if __name__ == "__main__":
    monkey.patch_all()
    main(sys.argv[1])
