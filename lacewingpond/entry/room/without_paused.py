"""Targets that are in no pause after rejections."""

from collections.abc import Sequence

from lacewingpond.entry.targets.state import TargetState


def without_paused(states: Sequence[TargetState], now: float) -> list[TargetState]:
    """Return the targets that are in no pause, or all if each of them is in one.

    Pauses of all targets do not tell which of them may have a free slot.
    """
    return [s for s in states if not s.rejections.is_active(now)] or list(states)
