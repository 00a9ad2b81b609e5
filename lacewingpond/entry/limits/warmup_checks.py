"""Health checks of targets that are assumed to be cold after an evacuation."""

from collections import deque
from collections.abc import Callable

from gevent.pool import Pool
from result import Err, Result

from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.limits.warmup_limiter import WarmupLimiter
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.http.headers import Headers
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.request import TargetRequest
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

# Between two checks of a target by one VM. Two VMs that both believe that they hold its
# bucket make 2 checks in any second, also if some of them arrive 0.25 s late.
CHECK_INTERVAL_S = 1.25
TICK_S = 0.25
CHECK_TIMEOUT_S = 0.5
MAX_CONCURRENT_CHECKS = 16
# In a tick, targets times members among which the holder is found, at 0.5 us each. It
# takes 4% of a core; a fleet of 1,700 VMs leaves most targets of a domain unchecked.
MAX_RANKED_PER_TICK = 20_000
OK_STATUS = 200


class WarmupChecks:
    """Asks targets whether they are cold, where this VM holds their buckets.

    Parameters
    ----------
    names : HeaderNames
        Header field names of the platform.
    decode : callable
        Decodes from the headers of a response for how long its target stays cold.
    limiter : WarmupLimiter
        Tells which buckets this VM holds.
    table : TargetTable
        The targets.
    view : StoreView
        Source of the paths of the health checks.
    client : TargetClient
        Sends the checks.
    clock : Clock
        Times the checks.
    log : DecisionLog
        Log of assumptions, and of changes of what the checks show.
    """

    __slots__ = ("_names", "_decode", "_limiter", "_table", "_view", "_client")
    __slots__ += ("_clock", "_log", "_assumed", "_checked_at", "_shown", "_pool")

    def __init__(
        self,
        names: HeaderNames,
        decode: Callable[[Headers], Result[float, str]],
        limiter: WarmupLimiter,
        table: TargetTable,
        view: StoreView,
        client: TargetClient,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._names = names
        self._decode = decode
        self._limiter = limiter
        self._table = table
        self._view = view
        self._client = client
        self._clock = clock
        self._log = log
        self._assumed: deque[str] = deque()
        self._checked_at: dict[str, float] = {}
        self._shown: dict[str, str] = {}
        self._pool = Pool(MAX_CONCURRENT_CHECKS)

    def assume_cold(self, failure_domain: str) -> None:
        """Assume that the targets of a failure domain are cold, and check them.

        To be called when an evacuation ends: they may have turned cold during it.
        """
        assumed = self._table.assume_cold(failure_domain)
        if assumed:
            target_ids = (state.spec.target_id for state in assumed)
            self._assumed = deque(dict.fromkeys((*self._assumed, *target_ids)))
            why = "assumed cold after an evacuation"
            self._log.decision("warmup", failure_domain, why, targets=len(assumed))

    def stop(self, failure_domain: str) -> None:
        """Check the targets of a failure domain no longer.

        To be called when an evacuation begins, as it allows no connection to them.
        """
        for target_id in tuple(self._assumed):
            state = self._table.get(target_id)
            if state is None or state.spec.failure_domain == failure_domain:
                self._forget(target_id)

    def run(self) -> None:
        """Start the checks that are due; never returns."""
        while True:
            self._clock.sleep(TICK_S)
            for state in self.due():
                self._pool.spawn(self.check, state)

    def due(self) -> list[TargetState]:
        """Return the targets to check now, and count them as checked."""
        now = self._clock.now()
        due = []
        looked_at = MAX_RANKED_PER_TICK // max(len(self._view.members), 1)
        for _ in range(min(max(looked_at, 1), len(self._assumed))):
            target_id = self._assumed[0]
            self._assumed.rotate(-1)
            state = self._table.get(target_id)
            if state is None or not state.warmup.is_assumed(now):
                self._forget(target_id)
                continue
            checked_at = self._checked_at.get(target_id, float("-inf"))
            if now - checked_at < CHECK_INTERVAL_S:
                continue
            if self._limiter.holds(state.spec):
                self._checked_at[target_id] = now
                due.append(state)
        return due

    def check(self, state: TargetState) -> None:
        """Request the health path of a target and record for how long it is cold.

        Nothing is sent, or recorded, if the target was forgotten since `due` returned
        it: where many targets do not respond, checks wait for one another, and the next
        evacuation of their domain may begin before.
        """
        target_id = state.spec.target_id
        due_at = self._checked_at.get(target_id)
        if due_at is None:
            return
        result = self._left_s(state)
        if self._checked_at.get(target_id) != due_at:
            return
        if result.is_err():
            self._log_change(state, f"unknown: {result.err_value}")
            return
        state.warmup.record_check(result.ok_value, self._clock.now())
        self._log_change(state, "cold" if result.ok_value > 0.0 else "warm")

    def _left_s(self, state: TargetState) -> Result[float, str]:
        cfg, spec = self._view.config, state.spec
        service = cfg.services.get(spec.service) if cfg is not None else None
        if service is None:
            return Err("the service is not configured")
        fields = (("Host", spec.address), (self._names.expected_target, spec.target_id))
        request = TargetRequest(
            "GET", service.health_path, Headers(fields), idempotent=True
        )
        deadline = self._clock.now() + CHECK_TIMEOUT_S
        sent = self._client.send(state.target, request, deadline)
        if sent.is_err():
            return Err(sent.err_value.reason.value)
        response = sent.ok_value
        try:
            if response.status != OK_STATUS:
                return Err(f"status {response.status}")
            return self._decode(response.headers)
        finally:
            response.close()

    def _log_change(self, state: TargetState, shown: str) -> None:
        target_id = state.spec.target_id
        if self._shown.get(target_id) != shown:
            self._shown[target_id] = shown
            self._log.decision("warmup", target_id, shown)

    def _forget(self, target_id: str) -> None:
        self._assumed.remove(target_id)
        self._checked_at.pop(target_id, None)
        self._shown.pop(target_id, None)
