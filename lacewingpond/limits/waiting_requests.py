"""Requests that wait for tokens."""

from lacewingpond.limits.admission import Admission, RefusalReason
from lacewingpond.limits.admission_log import AdmissionLog
from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.grant_client import Asker
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.waiter import Waiter
from lacewingpond.util.clock import Clock

BUSY_RETRY_S = 1.0
"""When a request may come again that met too many waiting ones."""


class WaitingRequests:
    """Lets requests wait until this VM holds a token of each of their buckets.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    clock : Clock
        Source of time.
    asker : Asker
        Asks for the tokens that are lacking.
    admissions : AdmissionLog
        Takes the results.
    """

    __slots__ = ("_options", "_clock", "_asker", "_admissions", "_waiters")

    def __init__(
        self,
        options: LimitOptions,
        clock: Clock,
        asker: Asker,
        admissions: AdmissionLog,
    ) -> None:
        self._options = options
        self._clock = clock
        self._asker = asker
        self._admissions = admissions
        self._waiters: dict[int, Waiter] = {}

    def wake_all(self) -> None:
        """Let all waiting requests check for tokens."""
        for waiter in list(self._waiters.values()):
            waiter.wake()

    def take(self, allowances: list[Allowance], now: float) -> Admission:
        """Take one token of each allowance, all of which have one."""
        for allowance in allowances:
            allowance.take()
            self._asker.ask_ahead(allowance, now)
        return self._admissions.admitted()

    def admit(self, allowances: list[Allowance], now: float) -> Admission:
        """Take one token of each allowance; blocks for at most ``wait_s``."""
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
            self._leave(waiter, allowances)

    def _wait(self, waiter: Waiter, allowances: list[Allowance]) -> Admission:
        while True:
            now = self._clock.now()
            lacking = [a for a in allowances if not a.has_token(waiter, now)]
            for allowance in lacking:
                self._asker.ask_for_waiters(allowance, now)
            lacking = [a for a in lacking if not a.has_token(waiter, now)]
            if not lacking:
                return self.take(allowances, now)
            for allowance in lacking:
                if now >= waiter.deadline or allowance.is_out_of_reach(waiter.deadline):
                    return self._admissions.refused_without_token(allowance, now)
            waiter.wait()

    def _leave(self, waiter: Waiter, allowances: list[Allowance]) -> None:
        for allowance in allowances:
            allowance.waiters.remove(waiter)
            allowance.wake()
