"""All players by scenario."""

from lacewingpond.replay.base import Player
from lacewingpond.replay.health import HealthPlayer

PLAYERS: dict[str, Player] = {
    HealthPlayer.scenario: HealthPlayer(),
}
