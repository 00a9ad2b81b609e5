"""Counts and logs the results of admission."""

from lacewingpond.limits.admission import ADMITTED, Admission, RefusalReason
from lacewingpond.limits.allowance import Allowance
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics


class AdmissionLog:
    """Returns the result of each admission once it is counted and logged.

    Parameters
    ----------
    log : DecisionLog
        Takes refusals.
    metrics : Metrics
        Takes counters ``limits.admitted`` and ``limits.refused.*``.
    """

    __slots__ = ("_log", "_metrics")

    def __init__(self, log: DecisionLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def admitted(self) -> Admission:
        """Return the result of a request that took its tokens."""
        self._metrics.incr("limits.admitted")
        return ADMITTED

    def refused(
        self, bucket_id: str, reason: RefusalReason, retry_after_s: float
    ) -> Admission:
        """Return a refusal by one bucket."""
        self._metrics.incr(f"limits.refused.{reason.value}")
        self._log.decision("limit", bucket_id, reason.value)
        return Admission(False, bucket_id, reason, retry_after_s)

    def refused_without_token(self, allowance: Allowance, now: float) -> Admission:
        """Return a refusal by a bucket of which no token can be had in time."""
        reason = RefusalReason.OVER_RATE
        if allowance.has_unreachable(now):
            reason = RefusalReason.UNREACHABLE
        wait_s = max(allowance.retry_at() - now, 1.0 / allowance.bucket.rate)
        return self.refused(allowance.bucket.bucket_id, reason, wait_s)
