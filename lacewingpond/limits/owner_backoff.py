"""Owners that have not answered lately."""

from lacewingpond.limits.options import LimitOptions

MISSES_BEFORE_SILENT = 2
"""Unanswered asks in a row after which an owner counts as silent."""


class SilentOwners:
    """Tells which owners are not worth asking now.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    """

    __slots__ = ("_options", "_misses", "_until")

    def __init__(self, options: LimitOptions) -> None:
        self._options = options
        self._misses: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def missed(self, vm_id: str, now: float) -> bool:
        """Record an unanswered ask; return whether the owner became silent."""
        misses = self._misses.get(vm_id, 0) + 1
        self._misses[vm_id] = misses
        beyond = misses - MISSES_BEFORE_SILENT
        if beyond < 0:
            return False
        backoff_s = self._options.backoff_s * 2.0 ** min(beyond, 16)
        self._until[vm_id] = now + min(backoff_s, self._options.max_backoff_s)
        return beyond == 0

    def answered(self, vm_id: str) -> None:
        """Record an answer."""
        self._misses.pop(vm_id, None)
        self._until.pop(vm_id, None)

    def silent_until(self, vm_id: str) -> float:
        """Return the monotonic time, in seconds, until which `vm_id` is not asked."""
        return self._until.get(vm_id, float("-inf"))

    def keep_only(self, vm_ids: frozenset[str]) -> None:
        """Forget VMs that own no shard."""
        for vm_id in set(self._misses) - vm_ids:
            self.answered(vm_id)
