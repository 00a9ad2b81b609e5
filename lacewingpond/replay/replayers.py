"""Registry of the players by scenario."""

from lacewingpond.replay.base import Player
from lacewingpond.replay.concurrency import ConcurrencyPlayer
from lacewingpond.replay.config import ConfigPlayer
from lacewingpond.replay.health import HealthPlayer
from lacewingpond.replay.once import OncePlayer
from lacewingpond.replay.placement import PlacementPlayer
from lacewingpond.replay.queues import QueuePlayer
from lacewingpond.replay.rates import RatesPlayer
from lacewingpond.replay.shards import ShardPlayer

PLAYERS: dict[str, Player] = {
    ConfigPlayer.scenario: ConfigPlayer(),
    ConcurrencyPlayer.scenario: ConcurrencyPlayer(),
    HealthPlayer.scenario: HealthPlayer(),
    OncePlayer.scenario: OncePlayer(),
    PlacementPlayer.scenario: PlacementPlayer(),
    RatesPlayer.scenario: RatesPlayer(),
    ShardPlayer.scenario: ShardPlayer(),
    QueuePlayer.scenario: QueuePlayer(),
}
