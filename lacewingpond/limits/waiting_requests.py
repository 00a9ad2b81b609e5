"""Requests waiting for tokens."""

from lacewingpond.limits.admission import Admission, RefusalReason
from lacewingpond.limits.admission_log import AdmissionLog
from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.grant_client import GrantClient
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.waiter import Waiter
from lacewingpond.util.clock import Clock

BUSY_RETRY_S = 1.0
"""Retry time of a request that is refused as too many others wait."""


class WaitingRequests:
    """Blocks requests until this VM holds a token of each of their buckets.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    clock : Clock
        Source of time.
    grant_client : Asker
        Requests missing tokens from slice owners.
    admissions : AdmissionLog
        Counts and logs the results.
    """

    __slots__ = ("_options", "_clock", "_grant_client", "_admissions", "_waiters")

    def __init__(
        self,
        options: LimitOptions,
        clock: Clock,
        grant_client: GrantClient,
        admissions: AdmissionLog,
    ) -> None:
        self._options = options
        self._clock = clock
        self._grant_client = grant_client
        self._admissions = admissions
        self._waiters: dict[int, Waiter] = {}

    def wake_all(self) -> None:
        """Wake all waiting requests so that they check for tokens."""
        for waiter in list(self._waiters.values()):
            waiter.wake()

    def take(self, allowances: list[Allowance], now: float) -> Admission:
        """Take one token of each allowance; each must have one."""
        for allowance in allowances:
            allowance.take()
            self._grant_client.prefetch(allowance, now)
        return self._admissions.admitted()

    def admit(self, allowances: list[Allowance], now: float) -> Admission:
        """Wait for one token of each allowance and take them, or refuse.

        Blocks for at most ``wait_s``.
        """
        for allowance in allowances:
            if len(allowance.waiters) >= self._options.max_waiting:
                bucket_id = allowance.bucket.bucket_id
                return self._admissions.refused(
                    bucket_id, RefusalReason.BUSY, BUSY_RETRY_S
                )
        waiter = Waiter(now + self._options.wait_s)
        for allowance in allowances:
            allowance.waiters.append(waiter)
        self._waiters[id(waiter)] = waiter
        try:
            return self._wait(waiter, allowances)
        finally:
            del self._waiters[id(waiter)]
            self._remove(waiter, allowances)

    def _wait(self, waiter: Waiter, allowances: list[Allowance]) -> Admission:
        while True:
            now = self._clock.now()
            missing = [a for a in allowances if not a.has_token(waiter, now)]
            for allowance in missing:
                self._grant_client.request_for_waiters(allowance, now)
            missing = [a for a in missing if not a.has_token(waiter, now)]
            if not missing:
                return self.take(allowances, now)
            for allowance in missing:
                if now >= waiter.deadline or allowance.is_exhausted_until(
                    waiter.deadline
                ):
                    return self._admissions.refused_without_token(allowance, now)
            waiter.wait()

    def _remove(self, waiter: Waiter, allowances: list[Allowance]) -> None:
        for allowance in allowances:
            allowance.waiters.remove(waiter)
            allowance.wake()
