"""Failure detection and ejection of a single target, on each VM of the entry daemon.

`lacewingpond.health` has the detector of the standalone daemon, which works for the
whole fleet.
"""

import math
from enum import Enum

# Healthy targets fail 1.2 in 100 requests; the rest are losses in the network.
HEALTHY_FAILURE_RATIO = 0.03
# The mildest gray failures that cost more than an ejection.
UNHEALTHY_FAILURE_RATIO = 0.4
# Reached by two errors among three outcomes; a lower score gives more false alarms.
EJECT_SCORE = 4.4
MAX_SCORE = 8.0  # recovery after a long failure is as fast as after a short one
# A target ejected for overdue requests is back once at most one of them still waits.
RETURN_SCORE = 2.0
PROBATION_SCORE = 2.0  # one more error ejects, five successes end the probation
EJECTION_S = 8.0  # gray failures last 5 to 9 s, and a failed trial costs a request
REPEAT_EJECTION_S = 8.0  # a target that fails again is in another gray failure
OVERDUE_EJECTION_S = 5.0  # requests that wait are weaker evidence than failed ones
# A target that fails 85 in 100 requests passes two trials in 2 of 100 cases.
TRIALS_TO_RETURN = 2

ERROR_EVIDENCE = math.log(UNHEALTHY_FAILURE_RATIO / HEALTHY_FAILURE_RATIO)
"""Evidence of one error response, as a log likelihood ratio."""
BROKEN_EVIDENCE = EJECT_SCORE + 1.6
"""Evidence of one broken connection or invalid response, which ejects by itself.

Healthy targets cause neither.
"""
LATE_EVIDENCE = ERROR_EVIDENCE / 2
"""Evidence of one timeout, which the request or the network may have caused as well."""
_SUCCESS_WEIGHT = math.log(
    (1.0 - UNHEALTHY_FAILURE_RATIO) / (1.0 - HEALTHY_FAILURE_RATIO)
)


class HealthStatus(Enum):
    """Whether and how a target receives requests."""

    HEALTHY = "sound"
    PROBATION = "probation"
    """Receives fewer requests, after an ejection."""
    EJECTED = "ejected"
    """Receives only requests that can be retried on another target, as trials.

    `EntryPlacer` ignores an ejection when too many targets are ejected.
    """


class EntryTargetHealth:
    """A one-sided cumulative sum (CUSUM) test over the outcomes of one target.

    Source: Page, "Continuous inspection schemes", Biometrika 41, 1954.

    Attributes
    ----------
    failure_score : float
        Cumulative evidence of failed requests that the target is unhealthy, from 0 to
        `MAX_SCORE`.
    overdue_score : float
        The same of requests that it has not responded to yet.
    """

    __slots__ = ("failure_score", "overdue_score", "_ejected_until", "_on_probation")
    __slots__ += ("_trial_successes", "_is_overdue")

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.overdue_score = 0.0
        self._ejected_until = float("-inf")
        self._on_probation = False
        self._is_overdue = False
        self._trial_successes = 0

    @property
    def score(self) -> float:
        """All evidence that the target is unhealthy, from 0 to `MAX_SCORE`."""
        return min(self.failure_score + self.overdue_score, MAX_SCORE)

    @property
    def is_clean(self) -> bool:
        """Whether nothing indicates that the target is unhealthy."""
        return not (self._on_probation or self.failure_score or self.overdue_score)

    def add(
        self,
        now: float,
        successes: int,
        failure_evidence: float,
        trial_successes: int,
        age_s: float = 0.0,
        overdue_evidence: float = 0.0,
    ) -> bool:
        """Add outcomes and return whether they eject the target.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        successes : int
            Number of successful requests.
        failure_evidence : float
            Sum of the evidence of the failed requests, such as `ERROR_EVIDENCE`.
        trial_successes : int
            Number of successful requests that were sent while the target was ejected.
        age_s : float
            Time since the failed or overdue requests were sent, in seconds, if it is
            unknown how long the target continued to fail; else 0.
        overdue_evidence : float
            Sum of the evidence of requests without a response so far; negative for
            those that got one after all.
        """
        if age_s >= EJECTION_S:
            # The gray failure that these requests met is over by now.
            failure_evidence = 0.0
            overdue_evidence = min(overdue_evidence, 0.0)
        self._add_scores(successes, failure_evidence, overdue_evidence)
        ejected = now < self._ejected_until
        failed = failure_evidence > 0.0 or overdue_evidence > 0.0
        if failed:
            self._trial_successes = 0
        elif ejected and trial_successes:
            self._trial_successes += trial_successes
            if self._trial_successes >= TRIALS_TO_RETURN:
                self._ejected_until = now
        if overdue_evidence < 0.0 and self._is_overdue and self.score < RETURN_SCORE:
            # The requests that seemed to hang were slow.
            self._ejected_until = min(self._ejected_until, now)
        if self.score == 0.0 and not ejected:
            self._on_probation = False
        if not failed or self.score < EJECT_SCORE:
            return False
        self._is_overdue = self.failure_score < EJECT_SCORE
        until = now - age_s + self._ejection_s()
        self._ejected_until = max(self._ejected_until, until)
        self._on_probation = True
        return not ejected

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected at `now`."""
        return now < self._ejected_until

    def status(self, now: float) -> HealthStatus:
        """Return the status at `now`; on probation, cap the scores.

        The cap is `PROBATION_SCORE`; `add` does not apply it.
        """
        if now < self._ejected_until:
            return HealthStatus.EJECTED
        if self._on_probation:
            self.failure_score = min(self.failure_score, PROBATION_SCORE)
            left = PROBATION_SCORE - self.failure_score
            self.overdue_score = min(self.overdue_score, left)
            return HealthStatus.PROBATION
        return HealthStatus.HEALTHY

    def _ejection_s(self) -> float:
        """Return how long an ejection lasts from the newest evidence, in seconds."""
        if self._is_overdue:
            return OVERDUE_EJECTION_S
        return REPEAT_EJECTION_S if self._on_probation else EJECTION_S

    def _add_scores(
        self, successes: int, failure_evidence: float, overdue_evidence: float
    ) -> None:
        score = self.failure_score + failure_evidence + successes * _SUCCESS_WEIGHT
        self.failure_score = min(max(score, 0.0), MAX_SCORE)
        # Successes count against overdue requests once no failures are left.
        overdue = self.overdue_score + overdue_evidence + min(score, 0.0)
        self.overdue_score = min(max(overdue, 0.0), MAX_SCORE)
