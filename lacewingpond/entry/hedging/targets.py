"""Targets that get no hedges."""

from collections.abc import Iterable

from lacewingpond.entry.targets.state import TargetState

FULL_LOAD = 1.0  # requests per slot; a hedge would wait in the target's queue


def unfit_for_hedge(states: Iterable[TargetState], now: float) -> set[str]:
    """Return the ids of targets that are ejected, cold, unreachable or full.

    An ejected target stays among them if it is used because too few others are left.
    """
    return {
        state.spec.target_id
        for state in states
        if not state.is_warm(now)
        or not state.is_reachable(now)
        or state.health.is_ejected(now)
        or state.load(now) >= FULL_LOAD
    }
