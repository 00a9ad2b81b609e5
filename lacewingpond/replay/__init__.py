"""Replays recorded traces through the real decision classes on a paused clock."""
