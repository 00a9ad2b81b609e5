"""How much speaks for a target being sick, and whether it is in use."""

import math
from enum import Enum

HEALTHY_RATE = 0.03  # failures of sound targets: 1.2 in 100 and losses on the way
SICK_RATE = 0.4  # the mildest gray failures that cost more than ejection does
EJECT_AT = 4.4  # two errors within four outcomes; more false alarms below
MAX_SCORE = 8.0  # lets a target that was long sick recover as fast as another
PROBATION_SCORE = 2.0  # one more failure ejects, four good outcomes clear
EJECT_S = 8.0  # gray spells last 5 to 9 s; a trial costs a request
REPEAT_S = 8.0  # a target that fails its trial is in another spell
TRIALS_TO_RETURN = 2  # a target that fails 85 in 100 passes two in 2 in 100

ERROR_BLAME = math.log(SICK_RATE / HEALTHY_RATE)
"""An answer that says that the target failed."""
BROKEN_BLAME = EJECT_AT + 1.6
"""A connection that broke, or bytes that are no answer; sound targets do neither."""
LATE_BLAME = ERROR_BLAME / 2
"""No answer in time, which may be the request's fault or the link's."""
_SUCCESS_WEIGHT = math.log((1.0 - SICK_RATE) / (1.0 - HEALTHY_RATE))


class Standing(Enum):
    """How a target is used."""

    SOUND = "sound"
    PROBATION = "probation"
    """Back for few requests after an ejection."""
    EJECTED = "ejected"
    """Tried only by requests that can be repeated elsewhere."""


class Suspicion:
    """A one-sided cumulative sum over the outcomes of one target.

    Source: Page, "Continuous inspection schemes", Biometrika 41, 1954.
    """

    __slots__ = ("score", "_ejected_until", "_on_trial", "_trials")

    def __init__(self) -> None:
        self.score = 0.0
        self._ejected_until = float("-inf")
        self._on_trial = False
        self._trials = 0

    def add(
        self, now: float, good: int, blame: float, passed: int, age_s: float = 0.0
    ) -> bool:
        """Count outcomes; return whether they eject the target.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        good : int
            Requests that it served.
        blame : float
            Sum over those that it failed, as the constants above weigh them.
        passed : int
            Those of the served ones that were sent to it while it was ejected.
        age_s : float
            How long ago the requests behind `blame` were sent, where it was not seen
            how long the target went on failing; in seconds.
        """
        if age_s >= EJECT_S:
            # The spell that they met is over.
            blame = 0.0
        self.score += blame + good * _SUCCESS_WEIGHT
        self.score = min(max(self.score, 0.0), MAX_SCORE)
        ejected = now < self._ejected_until
        if blame:
            self._trials = 0
        elif ejected and passed:
            self._trials += passed
            if self._trials >= TRIALS_TO_RETURN:
                self._ejected_until = now
        if self.score == 0.0 and not ejected:
            self._on_trial = False
        if not blame or self.score < EJECT_AT:
            return False
        until = now - age_s + (REPEAT_S if self._on_trial else EJECT_S)
        self._ejected_until = max(self._ejected_until, until)
        self._on_trial = True
        return not ejected

    def standing(self, now: float) -> Standing:
        """Return how the target is to be used now."""
        if now < self._ejected_until:
            return Standing.EJECTED
        if self._on_trial:
            self.score = min(self.score, PROBATION_SCORE)
            return Standing.PROBATION
        return Standing.SOUND
