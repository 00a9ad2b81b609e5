"""Moves shards to their preferred owners, a few at a time."""

import random

from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.handover import Handover
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.preferred_owners import preferred_owner
from lacewingpond.util.clock import Clock


class Rebalancer:
    """Hands owned shards over to the VMs that are their preferred owners.

    Parameters
    ----------
    options : ShardOptions
        Interval and batch size.
    local : LocalShards
        The shards of this process.
    handover : Handover
        Moves the shards.
    fleet : FleetView
        Live VMs.
    clock, rng : Clock, random.Random
        Time, and jitter of the interval.
    """

    __slots__ = (
        "_options",
        "_local",
        "_handover",
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
        handover: Handover,
        fleet: FleetView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._local = local
        self._handover = handover
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._next_at = clock.now() + options.rebalance_s
        self._misplaced: set[int] = set()

    def step(self) -> None:
        """Move a few shards if the interval has passed."""
        now = self._clock.now()
        if now < self._next_at:
            return
        self._next_at = now + self._options.rebalance_s * self._rng.uniform(0.5, 1.5)
        before, self._misplaced = self._misplaced, self._find_misplaced()
        # Skip shards that were not yet misplaced at the previous check.
        moving = sorted(self._misplaced & before)[: self._options.rebalance_batch]
        if moving and not self._handover.is_store_unavailable():
            self._handover.hand_over(moving, preferred_only=True)

    def _find_misplaced(self) -> set[int]:
        own_id = self._local.process.vm_id
        ids = [v for v in self._fleet.live_ids() if self._fleet.is_reachable(v)]
        ids.append(own_id)
        return {
            shard
            for shard in self._local.active
            if preferred_owner(shard, ids) != own_id
        }
