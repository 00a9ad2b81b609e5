"""Exponential backoff of requests to slice owners that do not answer."""

from lacewingpond.limits.options import LimitOptions

TIMEOUTS_BEFORE_BACKOFF = 2
"""Consecutive unanswered requests after which an owner is not asked for a while."""


class OwnerBackoff:
    """Tracks which owners are not asked at present, as they did not answer.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    """

    __slots__ = ("_options", "_timeouts", "_until")

    def __init__(self, options: LimitOptions) -> None:
        self._options = options
        self._timeouts: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def record_timeout(self, vm_id: str, now: float) -> bool:
        """Record an unanswered request; return True when backoff starts with it."""
        timeouts = self._timeouts.get(vm_id, 0) + 1
        self._timeouts[vm_id] = timeouts
        excess = timeouts - TIMEOUTS_BEFORE_BACKOFF
        if excess < 0:
            return False
        backoff_s = self._options.backoff_s * 2.0 ** min(excess, 16)
        self._until[vm_id] = now + min(backoff_s, self._options.max_backoff_s)
        return excess == 0

    def record_response(self, vm_id: str) -> None:
        """End the backoff of an owner that answered."""
        self._timeouts.pop(vm_id, None)
        self._until.pop(vm_id, None)

    def blocked_until(self, vm_id: str) -> float:
        """Return the monotonic time in seconds until which `vm_id` is not asked."""
        return self._until.get(vm_id, float("-inf"))

    def retain(self, vm_ids: frozenset[str]) -> None:
        """Drop the state of all VMs other than `vm_ids`."""
        for vm_id in set(self._timeouts) - vm_ids:
            self.record_response(vm_id)
