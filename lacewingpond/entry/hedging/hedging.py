"""Hedged requests of one VM: policy, budget of extra requests and counts."""

from collections import Counter

from lacewingpond.entry.hedging.options import HedgingOptions
from lacewingpond.entry.hedging.policy import HedgeRefusal, HedgingPolicy, SlowRequest
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.model.service_classes import service_classes
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.telemetry.decisions import DecisionLog

EXTRA_RESERVE = 3.0  # hedges of one VM and service that may start at once
REPORT_INTERVAL_S = 10.0


class Hedging:
    """Grants hedges to the deliveries of one VM.

    A hedge takes one token of the budget of extra requests, which starts empty and to
    which each idempotent request adds `max_extra`, and one of the retry budget, of
    which it leaves half.

    Parameters
    ----------
    options : HedgingOptions
        Limit and percentile.
    retries : RetryBudget
        Budget of all further attempts.

    Attributes
    ----------
    policy : HedgingPolicy
        Decides by the state of a service.
    """

    __slots__ = ("policy", "_retries", "_extra", "_counts", "_reported", "_report_at")

    def __init__(self, options: HedgingOptions, retries: RetryBudget) -> None:
        self.policy = HedgingPolicy(options)
        self._retries = retries
        self._extra = RetryBudget(_extra_options(options))
        self._counts: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()
        self._report_at = float("-inf")

    @classmethod
    def off(cls) -> "Hedging":
        """Return one that grants no hedges."""
        return cls(HedgingOptions(), RetryBudget(RetryOptions()))

    @property
    def enabled(self) -> bool:
        """Whether any request may be hedged."""
        return self.policy.enabled

    def set_options(self, options: HedgingOptions) -> None:
        """Replace limit and percentile; earned extra requests are kept."""
        self.policy.options = options
        self._extra.set_options(_extra_options(options))

    def apply_config(self, cfg: EntryConfig) -> None:
        """Take over the services and priority classes of a configuration."""
        self.policy.classes = service_classes(cfg)
        services = frozenset(cfg.services)
        self.policy.keep_only(services)
        self._extra.keep_only(services)

    def earn(self, service: str, route: EntryRoute) -> None:
        """Count the first attempt of a request if it may be hedged."""
        if self.enabled and route.idempotent:
            self._extra.earn(service)
            self._counts["requests"] += 1

    def refusal(
        self, request: SlowRequest, load: float, now: float
    ) -> HedgeRefusal | None:
        """Return why policy or budgets allow no hedge now, or None if they do."""
        refusal = self.policy.refusal(request, load, now)
        if refusal is not None:
            return refusal
        if not self._extra.can_spend(request.service):
            return HedgeRefusal.EXTRA_BUDGET
        if not self._retries.can_spend_spare(request.service):
            return HedgeRefusal.RETRY_BUDGET
        return None

    def spend(self, service: str) -> bool:
        """Take an extra request; the caller takes the retry. False if there is none."""
        if not self._extra.spend(service):
            return False
        self._counts["started"] += 1
        return True

    def refund(self, service: str) -> None:
        """Return the extra request of a hedge that could not be sent."""
        self._extra.refund(service)
        self._counts["unsent"] += 1

    def count_refusal(self, refusal: HedgeRefusal) -> None:
        """Count a slow request that was not hedged at once."""
        self._counts[f"refused-{refusal.value}"] += 1

    def count_win(self) -> None:
        """Count a hedge whose response served the caller."""
        self._counts["won"] += 1

    def report(self, vm_id: str, log: DecisionLog, now: float) -> None:
        """Log the counts since the start if they changed; to be called periodically."""
        if now < self._report_at or self._counts == self._reported:
            return
        self._report_at = now + REPORT_INTERVAL_S
        self._reported = self._counts.copy()
        fields = {k.replace("-", "_"): n for k, n in sorted(self._counts.items())}
        log.decision("hedging", vm_id, "counts", **fields)


def _extra_options(options: HedgingOptions) -> RetryOptions:
    return RetryOptions(options.max_extra, 0.0, EXTRA_RESERVE)
