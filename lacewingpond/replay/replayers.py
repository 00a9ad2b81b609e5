"""Registry of the replayers by scenario."""

from lacewingpond.replay.base import Replayer
from lacewingpond.replay.concurrency import ConcurrencyReplayer
from lacewingpond.replay.config import ConfigReplayer
from lacewingpond.replay.health import HealthReplayer
from lacewingpond.replay.once import OnceReplayer
from lacewingpond.replay.placement import PlacementReplayer
from lacewingpond.replay.queues import QueueReplayer
from lacewingpond.replay.rates import RatesReplayer
from lacewingpond.replay.shards import ShardReplayer

REPLAYERS: dict[str, Replayer] = {
    ConfigReplayer.scenario: ConfigReplayer(),
    ConcurrencyReplayer.scenario: ConcurrencyReplayer(),
    HealthReplayer.scenario: HealthReplayer(),
    OnceReplayer.scenario: OnceReplayer(),
    PlacementReplayer.scenario: PlacementReplayer(),
    RatesReplayer.scenario: RatesReplayer(),
    ShardReplayer.scenario: ShardReplayer(),
    QueueReplayer.scenario: QueueReplayer(),
}
