"""Replays traces through the daemon's decision classes on a manual clock."""
