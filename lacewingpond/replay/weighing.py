"""Prints how the ways of placement, orders and limits compare.

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
from lacewingpond.replay.concurrency import ConcurrencyPlayer, Limit
from lacewingpond.replay.placement import PlacementPlayer, Way
from lacewingpond.replay.queues import Order, QueuePlayer
from lacewingpond.replay.rate_shares import play_shares
from lacewingpond.replay.rates import RatesPlayer

SEEDS = (1, 2, 3)


class Candidate(Struct, frozen=True):
    """One replay of one trace by one of the compared ways."""

    trace: str
    way: str
    play: Callable[[], Measures]


def placement_candidates(seed: int) -> Iterator[Candidate]:
    """Yield the ways of placement, with two and with five drawn targets."""
    player = PlacementPlayer()
    variants = (
        (Way.RANDOM, 1),
        (Way.LOCAL, 2),
        (Way.LOCAL, 5),
        (Way.REPORTED, 2),
        (Way.REPORTED, 5),
        (Way.DISPATCHER, 1),
    )
    for name, trace in player.generate(seed):
        for way, choices in variants:
            options = PlacementOptions(choices=choices)
            yield Candidate(
                name,
                f"{way.value} of {choices}",
                lambda t=trace, w=way, o=options: player.play_way(t, w, o),
            )


def queue_candidates(seed: int) -> Iterator[Candidate]:
    """Yield the orders, with and without early refusal."""
    player = QueuePlayer()
    variants = (
        (Order.FIFO, 0.0),
        (Order.FIFO, 0.5),
        (Order.DEADLINE, 0.0),
        (Order.DEADLINE, 0.5),
        (Order.TURNS, 0.5),
        (Order.WEIGHTED, 0.5),
        (Order.FAIR, 0.0),
        (Order.FAIR, 0.5),
        (Order.FAIR, 1.0),
    )
    for name, trace in player.generate(seed):
        for order, ratio in variants:
            yield Candidate(
                name,
                f"{order.value}, ratio {ratio}",
                lambda t=trace, o=order, r=ratio: player.play_order(t, o, r),
            )


def limit_candidates(seed: int) -> Iterator[Candidate]:
    """Yield the limits of requests in work."""
    player = ConcurrencyPlayer()
    for name, trace in player.generate(seed):
        for limit in Limit:
            yield Candidate(
                name, limit.value, lambda t=trace, x=limit: player.play_limit(t, x)
            )


def rate_candidates(seed: int) -> Iterator[Candidate]:
    """Yield the two ways of fleet-wide rates, and one part in N on each VM."""
    player = RatesPlayer()
    for name, trace in player.generate(seed):
        yield Candidate(name, "slices", lambda t=trace: player.play(t, Variant.CURRENT))
        yield Candidate(name, "shares", lambda t=trace: play_shares(t))
        yield Candidate(name, "static", lambda t=trace: player.play(t, Variant.NAIVE))


CANDIDATES = {
    "placement": placement_candidates,
    "queues": queue_candidates,
    "concurrency": limit_candidates,
    "rates": rate_candidates,
}


def main(name: str) -> None:
    """Print each measure's mean over `SEEDS`, by trace and way."""
    found: dict[tuple[str, str], list[Measures]] = {}
    for seed in SEEDS:
        for candidate in CANDIDATES[name](seed):
            key = (candidate.trace, candidate.way)
            found.setdefault(key, []).append(candidate.play())
    for (trace, way), runs in found.items():
        means = {
            measure: statistics.mean(run[measure] for run in runs)
            for measure in runs[0]
        }
        text = "  ".join(f"{measure} {mean:.4g}" for measure, mean in means.items())
        print(f"{trace:24} {way:22} {text}")


if __name__ == "__main__":
    monkey.patch_all()
    main(sys.argv[1])
