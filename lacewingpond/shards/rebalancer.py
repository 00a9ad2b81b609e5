"""Moves shards, a few at a time, to the VMs where they belong."""

import random

from lacewingpond.shards.book import ShardBook
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.handover import HandOver
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import home
from lacewingpond.util.clock import Clock


class Rebalancer:
    """Hands over owned shards for which another VM ranks first.

    Parameters
    ----------
    options : ShardOptions
        Pace.
    book : ShardBook
        The shards of this process.
    hand_over : HandOver
        Moves them.
    fleet : FleetView
        Live VMs.
    clock, rng : Clock, random.Random
        Time, and spread of the moves.
    """

    __slots__ = (
        "_options",
        "_book",
        "_hand_over",
        "_fleet",
        "_clock",
        "_rng",
        "_next_at",
        "_strays",
    )

    def __init__(
        self,
        options: ShardOptions,
        book: ShardBook,
        hand_over: HandOver,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._book = book
        self._hand_over = hand_over
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._next_at = clock.now() + options.rebalance_s
        self._strays: set[int] = set()

    def step(self) -> None:
        """Move a few shards, if it is time."""
        now = self._clock.now()
        if now < self._next_at:
            return
        self._next_at = now + self._options.rebalance_s * self._rng.uniform(0.5, 1.5)
        before, self._strays = self._strays, self._find_strays()
        # Only shards that belonged elsewhere at the last look too.
        moving = sorted(self._strays & before)[: self._options.rebalance_batch]
        if moving and not self._hand_over.is_store_away():
            self._hand_over.run(moving, home_only=True)

    def _find_strays(self) -> set[int]:
        me = self._book.me.vm_id
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        ids.append(me)
        return {shard for shard in self._book.acting if home(shard, ids) != me}
