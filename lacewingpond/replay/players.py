"""All players by scenario."""

from lacewingpond.replay.base import Player
from lacewingpond.replay.health import HealthPlayer
from lacewingpond.replay.placement import PlacementPlayer
from lacewingpond.replay.shards import ShardPlayer

PLAYERS: dict[str, Player] = {
    HealthPlayer.scenario: HealthPlayer(),
    PlacementPlayer.scenario: PlacementPlayer(),
    ShardPlayer.scenario: ShardPlayer(),
}
