"""All players by scenario."""

from lacewingpond.replay.base import Player
from lacewingpond.replay.concurrency import ConcurrencyPlayer
from lacewingpond.replay.health import HealthPlayer
from lacewingpond.replay.placement import PlacementPlayer
from lacewingpond.replay.queues import QueuePlayer

PLAYERS: dict[str, Player] = {
    ConcurrencyPlayer.scenario: ConcurrencyPlayer(),
    HealthPlayer.scenario: HealthPlayer(),
    PlacementPlayer.scenario: PlacementPlayer(),
    QueuePlayer.scenario: QueuePlayer(),
}
