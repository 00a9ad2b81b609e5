"""Ejection after consecutive errors, decided by each VM for itself."""

import random

from lacewingpond.health.outcome import Outcome

CONSECUTIVE_ERRORS = 5
EJECTION_S = 30.0
BAD = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.REFUSED_CONNECTION})


class ConsecutiveErrors:
    """One VM's targets, its counts of errors in a row, and random placement.

    Parameters
    ----------
    target_ids : list of str
        The targets.
    rng : random.Random
        Draws targets.
    """

    __slots__ = ("_target_ids", "_rng", "_row", "_out_until")

    def __init__(self, target_ids: list[str], rng: random.Random) -> None:
        self._target_ids = target_ids
        self._rng = rng
        self._row = dict.fromkeys(target_ids, 0)
        self._out_until = dict.fromkeys(target_ids, 0.0)

    def record(self, now: float, target_id: str, outcome: Outcome) -> None:
        """Count one outcome."""
        if outcome not in BAD:
            self._row[target_id] = 0
            return
        self._row[target_id] += 1
        if self._row[target_id] >= CONSECUTIVE_ERRORS:
            self._row[target_id] = 0
            self._out_until[target_id] = now + EJECTION_S

    def is_ejected(self, now: float, target_id: str) -> bool:
        """Return whether the target is out of work on this VM."""
        return now < self._out_until[target_id]

    def pick(self, now: float) -> str:
        """Return a random target that is in work, or any if none is."""
        usable = [t for t in self._target_ids if not self.is_ejected(now, t)]
        return self._rng.choice(usable or self._target_ids)
