"""Whether a request may be hedged, and from when.

Source: Dean and Barroso, "The tail at scale", CACM 56(2), 2013.
"""

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct

from lacewingpond.entry.hedging.options import HedgingOptions
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.targets.latency import RouteLatency

MAX_LOAD = 0.7  # requests per slot from which extra work delays other requests
LEAST_URGENT_MAX_LOAD = MAX_LOAD / 2  # while more urgent classes use the service
REJECTION_MEMORY_S = 1.0  # a rejection is evidence of full targets for this long


class HedgeRefusal(Enum):
    """Why a slow request is not hedged."""

    OFF = "off"
    NON_IDEMPOTENT = "non-idempotent"
    MAX_ATTEMPTS = "max-attempts"
    DEADLINE = "deadline"
    REJECTIONS = "rejections"
    LOAD = "load"
    URGENT_WORK = "urgent-work"
    EXTRA_BUDGET = "extra-budget"
    RETRY_BUDGET = "retry-budget"
    NOT_REPEATABLE = "not-repeatable"
    """It is quarantined, its body can't be sent again, or any target would fail."""
    NO_TARGET = "no-target"


class SlowRequest(Struct, frozen=True):
    """What is known of a request whose response is late.

    Parameters
    ----------
    route : EntryRoute
        Its route.
    service : str
        The service that was drawn for it.
    priority : int
        Priority class; 0 is the most urgent.
    attempts : int
        Attempts that have started, on all VMs.
    time_left_s : float
        Time until its deadline, in seconds.
    usual_s : float
        Median latency of its route, in seconds.
    """

    route: EntryRoute
    service: str
    priority: int
    attempts: int
    time_left_s: float
    usual_s: float


class HedgingPolicy:
    """Decides on hedges from the state of a service, without budgets or targets.

    Attributes
    ----------
    options : HedgingOptions
        Limit and percentile.
    classes : mapping of str to frozenset of int
        Priority classes that each service serves.
    """

    __slots__ = ("options", "classes", "_rejected_at")

    def __init__(self, options: HedgingOptions) -> None:
        self.options = options
        self.classes: Mapping[str, frozenset[int]] = {}
        self._rejected_at: dict[str, float] = {}

    @property
    def enabled(self) -> bool:
        """Whether any request may be hedged."""
        return self.options.max_extra > 0.0

    def delay_s(self, latency: RouteLatency) -> float:
        """Return the wait in seconds after which a request of a route is slow.

        The percentile includes the usual wait for a slot, so none is added for the
        queue of the target at hand.
        """
        return latency.exceeded_by(1.0 - self.options.percentile)

    def record_rejection(self, service: str, now: float) -> None:
        """Record that a busy target of a service turned a request away."""
        self._rejected_at[service] = now

    def refusal(
        self, request: SlowRequest, load: float, now: float
    ) -> HedgeRefusal | None:
        """Return why a request may not be hedged now, or None if it may.

        Parameters
        ----------
        request : SlowRequest
            The request.
        load : float
            Requests in flight per slot at the service.
        now : float
            Current time, in monotonic seconds.
        """
        if not self.enabled:
            return HedgeRefusal.OFF
        if not request.route.idempotent:
            return HedgeRefusal.NON_IDEMPOTENT
        if request.attempts >= request.route.max_attempts:
            return HedgeRefusal.MAX_ATTEMPTS
        if request.time_left_s <= request.usual_s:
            return HedgeRefusal.DEADLINE
        rejected_at = self._rejected_at.get(request.service)
        if rejected_at is not None and now - rejected_at < REJECTION_MEMORY_S:
            return HedgeRefusal.REJECTIONS
        if load >= MAX_LOAD:
            return HedgeRefusal.LOAD
        if load > LEAST_URGENT_MAX_LOAD and self._delays_urgent_work(request):
            return HedgeRefusal.URGENT_WORK
        return None

    def keep_only(self, services: frozenset[str]) -> None:
        """Drop the rejections of all services but `services`."""
        self._rejected_at = {
            k: v for k, v in self._rejected_at.items() if k in services
        }

    def _delays_urgent_work(self, request: SlowRequest) -> bool:
        """Return whether only requests of other classes are more urgent."""
        classes = self.classes.get(request.service, frozenset())
        if len(classes) < 2:
            return False
        return request.priority >= max(classes)
