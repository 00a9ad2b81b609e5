"""How much speaks for a target being sick, and whether it is in use."""

import math
from enum import Enum

HEALTHY_RATE = 0.03  # failures of sound targets: 1.2 in 100 and losses on the way
SICK_RATE = 0.4  # the mildest gray failures that cost more than ejection does
EJECT_AT = 4.4  # two failures within four outcomes; more false alarms below
MAX_SCORE = 8.0  # lets a target that was long sick recover as fast as another
PROBATION_SCORE = 2.5  # one more failure ejects, six good outcomes clear
EJECT_S = 2.5  # gray spells last 5 s and more; trials are few
MAX_EJECT_S = 10.0  # a target that is well again is missed for no longer
FORGET_STRIKES_S = 15.0  # a spell after so long is a new one

_FAILURE_WEIGHT = math.log(SICK_RATE / HEALTHY_RATE)
_SUCCESS_WEIGHT = math.log((1.0 - SICK_RATE) / (1.0 - HEALTHY_RATE))


class Standing(Enum):
    """How a target is used."""

    SOUND = "sound"
    PROBATION = "probation"
    """Back for few requests after an ejection."""
    EJECTED = "ejected"


class Suspicion:
    """A one-sided cumulative sum over the outcomes of one target.

    Source: Page, "Continuous inspection schemes", Biometrika 41, 1954.
    """

    __slots__ = ("score", "_ejected_until", "_ejected_at", "_strikes", "_on_trial")

    def __init__(self) -> None:
        self.score = 0.0
        self._ejected_until = float("-inf")
        self._ejected_at = float("-inf")
        self._strikes = 0
        self._on_trial = False

    def add(self, now: float, good: int, bad: int) -> bool:
        """Count outcomes; return whether they eject the target."""
        self.score += bad * _FAILURE_WEIGHT + good * _SUCCESS_WEIGHT
        self.score = min(max(self.score, 0.0), MAX_SCORE)
        if self.score == 0.0:
            self._on_trial = False
        if self.score < EJECT_AT or now < self._ejected_until:
            return False
        if now - self._ejected_at > FORGET_STRIKES_S:
            self._strikes = 0
        length_s = min(EJECT_S * 2.0**self._strikes, MAX_EJECT_S)
        self._strikes += 1
        self._ejected_at = now
        self._ejected_until = now + length_s
        self._on_trial = True
        return True

    def standing(self, now: float) -> Standing:
        """Return how the target is to be used now."""
        if now < self._ejected_until:
            return Standing.EJECTED
        if self._on_trial:
            self.score = min(self.score, PROBATION_SCORE)
            return Standing.PROBATION
        return Standing.SOUND
