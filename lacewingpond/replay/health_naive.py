"""Naive variant: each VM on its own ejects targets after consecutive errors."""

import random

from lacewingpond.health.outcome import Outcome

CONSECUTIVE_ERRORS = 5
EJECTION_S = 30.0
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.REFUSED_CONNECTION})


class ConsecutiveErrorDetector:
    """Detects outliers by consecutive errors on one VM and places at random.

    Parameters
    ----------
    target_ids : list of str
        Ids of the targets.
    rng : random.Random
        Source of the random choices.
    """

    __slots__ = ("_target_ids", "_rng", "_consecutive_errors", "_ejected_until")

    def __init__(self, target_ids: list[str], rng: random.Random) -> None:
        self._target_ids = target_ids
        self._rng = rng
        self._consecutive_errors = dict.fromkeys(target_ids, 0)
        self._ejected_until = dict.fromkeys(target_ids, 0.0)

    def record(self, now: float, target_id: str, outcome: Outcome) -> None:
        """Record the outcome of a request, which may eject the target."""
        if outcome not in FAILURES:
            self._consecutive_errors[target_id] = 0
            return
        self._consecutive_errors[target_id] += 1
        if self._consecutive_errors[target_id] >= CONSECUTIVE_ERRORS:
            self._consecutive_errors[target_id] = 0
            self._ejected_until[target_id] = now + EJECTION_S

    def is_ejected(self, now: float, target_id: str) -> bool:
        """Return whether this VM ejected the target."""
        return now < self._ejected_until[target_id]

    def pick(self, now: float) -> str:
        """Return a random target that is not ejected, or any if all are."""
        in_use = [t for t in self._target_ids if not self.is_ejected(now, t)]
        return self._rng.choice(in_use or self._target_ids)
