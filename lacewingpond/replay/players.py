"""All players by scenario."""

from lacewingpond.replay.base import Player

PLAYERS: dict[str, Player] = {}
