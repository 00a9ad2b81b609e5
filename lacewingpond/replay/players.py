"""All players by scenario."""

from lacewingpond.replay.base import Player
from lacewingpond.replay.health import HealthPlayer
from lacewingpond.replay.placement import PlacementPlayer

PLAYERS: dict[str, Player] = {
    HealthPlayer.scenario: HealthPlayer(),
    PlacementPlayer.scenario: PlacementPlayer(),
}
