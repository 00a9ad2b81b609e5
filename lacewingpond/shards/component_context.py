"""Dependencies shared by the components that follow shard ownership."""

import random

from msgspec import Struct

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import ShardView
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock


class ComponentContext(Struct, frozen=True):
    """Dependencies of a component that runs on one VM.

    Parameters
    ----------
    vm_id : str
        This VM.
    clock, rng : Clock, random.Random
        Time and random numbers.
    channel : PeerChannel
        Messages to the other VMs.
    shards : ShardView
        Current owners of the shards.
    log : DecisionLog
        Decision log of this VM.
    metrics : Metrics
        Metrics of this VM.
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
    ) -> "ComponentContext":
        """Return a context for replays, with readable metrics and without a log."""
        log, metrics = NullDecisionLog(), CountingMetrics()
        return cls(vm_id, clock, rng, channel, shards, log, metrics)
