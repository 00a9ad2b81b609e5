"""Choice of the targets of one request, and the refusal if there is none."""

from collections.abc import Collection

from lacewingpond.entry.admission.base import Admission
from lacewingpond.entry.limits.limiter import TargetLimiter
from lacewingpond.entry.quota.admission import Admission as LimitAdmission
from lacewingpond.entry.requests.outcome import IDLE_RETRY_AFTER_S
from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.util.clock import Clock

MAX_DENIED_TARGETS = 4  # targets at their limit after which only others are tried
BUSY_RETRY_AFTER_S = 0.6  # a busy target completes a request in about this time
EVACUATED_RETRY_AFTER_S = 1.0  # evacuations last for longer; a retry costs little
BUSY_LOAD = 0.9  # requests per slot from which a service counts as busy


class TargetChoice:
    """Picks the targets of one request by eligibility, load and limits.

    Parameters
    ----------
    request : EntryRequest
        The request.
    tried : collection of str
        Ids of the targets that it was sent to; its owner adds to it.
    placer : EntryPlacer
        Picks targets of the service.
    limiter : TargetLimiter
        Admits requests to targets that name a limit or are cold.
    clock : Clock
        Time source.
    admission : Admission
        Tells the retry time of loaded services.

    Attributes
    ----------
    passed_over : dict of str to int
        How many targets were in each state but eligible at the last choice.
    """

    __slots__ = ("passed_over", "_request", "_tried", "_placer", "_limiter", "_clock")
    __slots__ += ("_tokens", "_denied_count", "_admission")

    def __init__(
        self,
        request: EntryRequest,
        tried: Collection[str],
        placer: EntryPlacer,
        limiter: TargetLimiter,
        clock: Clock,
        admission: Admission,
    ) -> None:
        self.passed_over: dict[str, int] = {}
        self._request = request
        self._tried = tried
        self._placer = placer
        self._limiter = limiter
        self._clock = clock
        self._admission = admission
        self._tokens: dict[str, LimitAdmission] = {}
        self._denied_count = 0

    def pick(self, retryable: bool) -> TargetState | None:
        """Return an untried target that accepts a further request by its limit."""
        service = self._request.service
        while self._denied_count < MAX_DENIED_TARGETS:
            limited = self._limiter.exhausted(service).keys()
            state = self._pick_except(limited, retryable)
            if state is None:
                return None
            admission = self._limiter.admit(state.spec)
            if admission.admitted:
                self._tokens[state.spec.target_id] = admission
                return state
            self._denied_count += 1
        return self.pick_unlimited(retryable)

    def pick_unlimited(
        self, retryable: bool = False, unfit: Collection[str] = ()
    ) -> TargetState | None:
        """Return an untried target without a limit, not cold, not among `unfit`."""
        limited = self._limiter.limited(self._request.service)
        return self._pick_except(limited, retryable, unfit)

    def limit_fields(self, state: TargetState) -> dict[str, object]:
        """Return what the log tells about the limit of an attempt's target."""
        limit = self._limiter.limits.get(state.spec)
        token = self._tokens.get(state.spec.target_id)
        granted_by = token.granted_by if token is not None else ""
        if limit is None or limit.rate is None:
            return {"token_from": granted_by} if granted_by else {}
        return {
            "limit": limit.rate,
            "limit_age_s": round(self._clock.now() - limit.observed_at, 2),
            "token_from": granted_by,
        }

    def retry_after_s(self) -> float:
        """Return the retry time for the caller: short unless the service is busy.

        If all targets are paused, it is the time until the first pause ends.
        """
        service = self._request.service
        pauses_s = self._placer.pauses_s(service)
        if pauses_s and self._placer.pick(service, (), False) is None:
            return min(pauses_s)
        retry_after_s = self._admission.retry_after_s(self._request)
        if retry_after_s is not None:
            return retry_after_s
        load = self._placer.load(service)
        return BUSY_RETRY_AFTER_S if load >= BUSY_LOAD else IDLE_RETRY_AFTER_S

    def no_target_refusal(self) -> EntryRefusal:
        """Return the refusal of a request for which there was no target at all."""
        service = self._request.service
        if self._placer.is_evacuated(service, self._request.evacuated):
            detail = "The failure domains of the service's targets are evacuated."
            return EntryRefusal.not_run(
                503, "domain-evacuated", detail, EVACUATED_RETRY_AFTER_S
            )
        waits = self._limiter.exhausted(service).items()
        waits_s = [wait_s for key, wait_s in waits if key not in self._request.excluded]
        pauses_s = self._placer.pauses_s(service)
        if pauses_s:
            detail = "The targets of the service have asked for a pause."
            retry_after_s = min(waits_s + pauses_s)
            return EntryRefusal.not_run(503, "targets-paused", detail, retry_after_s)
        if waits_s:
            detail = "The targets of the service have reached their limits."
            return EntryRefusal.not_run(503, "target-limits", detail, min(waits_s))
        detail = "No target of the service accepts requests."
        return EntryRefusal.not_run(503, "no-target", detail, self.retry_after_s())

    def _pick_except(
        self, limited: Collection[str], retryable: bool, unfit: Collection[str] = ()
    ) -> TargetState | None:
        """Return an untried target that is not among `limited` or `unfit`."""
        service, placer = self._request.service, self._placer
        unusable = {*self._unusable(), *unfit} if unfit else self._unusable()
        state = placer.pick(service, unusable, retryable, limited)
        if state is not None:
            self.passed_over = placer.passed_over(service, limited)
        return state

    def _unusable(self) -> Collection[str]:
        """Return the ids of the targets that the request must not be sent to."""
        excluded = self._request.excluded
        return {*self._tried, *excluded} if excluded else self._tried
