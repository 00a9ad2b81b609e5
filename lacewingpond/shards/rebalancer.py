"""Moves shards, a few at a time, to their preferred owners."""

import random

from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.handover import HandOver
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.placement import preferred_owner
from lacewingpond.util.clock import Clock


class Rebalancer:
    """Hands over owned shards for which another VM ranks first.

    Parameters
    ----------
    options : ShardOptions
        Pace.
    local : LocalShards
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
        "_local",
        "_hand_over",
        "_fleet",
        "_clock",
        "_rng",
        "_next_at",
        "_misplaced",
    )

    def __init__(
        self,
        options: ShardOptions,
        local: LocalShards,
        hand_over: HandOver,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._local = local
        self._hand_over = hand_over
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._next_at = clock.now() + options.rebalance_s
        self._misplaced: set[int] = set()

    def step(self) -> None:
        """Move a few shards, if it is time."""
        now = self._clock.now()
        if now < self._next_at:
            return
        self._next_at = now + self._options.rebalance_s * self._rng.uniform(0.5, 1.5)
        before, self._misplaced = self._misplaced, self._find_misplaced()
        # Only shards that were misplaced at the last check too.
        moving = sorted(self._misplaced & before)[: self._options.rebalance_batch]
        if moving and not self._hand_over.is_store_away():
            self._hand_over.run(moving, preferred_only=True)

    def _find_misplaced(self) -> set[int]:
        me = self._local.me.vm_id
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        ids.append(me)
        return {
            shard for shard in self._local.acting if preferred_owner(shard, ids) != me
        }
