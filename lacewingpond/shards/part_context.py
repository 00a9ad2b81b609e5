"""What all parts that follow the ownership of shards are built from."""

import random

from msgspec import Struct

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import ShardView
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock


class PartContext(Struct, frozen=True):
    """One VM as its parts see it.

    Parameters
    ----------
    vm_id : str
        The VM.
    clock : Clock
        Time.
    rng : random.Random
        Chance.
    channel : PeerChannel
        Way to the other VMs.
    shards : ShardView
        Who owns which shard.
    log : DecisionLog
        Takes decisions.
    metrics : Metrics
        Takes measurements.
    """

    vm_id: str
    clock: Clock
    rng: random.Random
    channel: PeerChannel
    shards: ShardView
    log: DecisionLog
    metrics: Metrics

    @classmethod
    def unlogged(
        cls,
        vm_id: str,
        clock: Clock,
        rng: random.Random,
        channel: PeerChannel,
        shards: ShardView,
    ) -> "PartContext":
        """Return a context without a log, whose metrics can be read: for replays."""
        log, metrics = NullDecisionLog(), CountingMetrics()
        return cls(vm_id, clock, rng, channel, shards, log, metrics)
