"""Metrics and log of admission results."""

from lacewingpond.limits.admission import ADMITTED, Admission, RefusalReason
from lacewingpond.limits.allowance import Allowance
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics


class AdmissionLog:
    """Creates admission results, and counts and logs them.

    Parameters
    ----------
    log : DecisionLog
        Records refusals.
    metrics : Metrics
        Counts ``limits.admitted`` and ``limits.refused.*``.
    """

    __slots__ = ("_log", "_metrics")

    def __init__(self, log: DecisionLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def admitted(self) -> Admission:
        """Count an admitted request and return its result."""
        self._metrics.incr("limits.admitted")
        return ADMITTED

    def refused(
        self, bucket_id: str, reason: RefusalReason, retry_after_s: float
    ) -> Admission:
        """Count and log a refusal by one bucket and return it."""
        self._metrics.incr(f"limits.refused.{reason.value}")
        self._log.decision("limit", bucket_id, reason.value)
        return Admission(False, bucket_id, reason, retry_after_s)

    def refused_without_token(self, allowance: Allowance, now: float) -> Admission:
        """Record and return a refusal by a bucket that gets no token in time."""
        reason = RefusalReason.OVER_RATE
        if allowance.has_unreachable_slice(now):
            reason = RefusalReason.UNREACHABLE
        wait_s = max(allowance.earliest_retry_at() - now, 1.0 / allowance.bucket.rate)
        return self.refused(allowance.bucket.bucket_id, reason, wait_s)
