"""Caps retries as a share of the requests of each service."""

from lacewingpond.retries.options import RetryOptions


class RetryBudget:
    """Earns a part of a retry with each request and spends one with each retry.

    So over any period a service gets at most ``requests * (1 + share)`` plus
    the reserve, however many attempts fail. It starts with a few retries, so that
    the first requests of a quiet service survive a failing target too.

    Parameters
    ----------
    options : RetryOptions
        Settings.
    """

    __slots__ = ("_options", "_saved")

    def __init__(self, options: RetryOptions) -> None:
        self._options = options
        self._saved: dict[str, float] = {}

    @classmethod
    def from_options(cls, options: RetryOptions) -> "RetryBudget":
        """Create a budget with the first retries of each service."""
        return cls(options)

    def change(self, options: RetryOptions) -> None:
        """Take over other settings; savings beyond the new reserve are lost."""
        self._options = options
        self._saved = {
            service: min(saved, options.reserve)
            for service, saved in self._saved.items()
        }

    def earn(self, service: str) -> None:
        """Count one first attempt."""
        if service not in self._saved and self._is_full():
            return
        saved = self._saved.get(service, self._options.first) + self._options.share
        self._saved[service] = min(saved, self._options.reserve)

    def can_spend(self, service: str) -> bool:
        """Return whether a retry may be made now."""
        return self._saved.get(service, 0.0) >= 1.0

    def spend(self, service: str) -> bool:
        """Return whether a retry may be made, and count it."""
        if not self.can_spend(service):
            return False
        self._saved[service] -= 1.0
        return True

    def keep_only(self, services: frozenset[str]) -> None:
        """Forget services that the configuration no longer has."""
        for service in set(self._saved) - services:
            del self._saved[service]

    def _is_full(self) -> bool:
        return len(self._saved) >= self._options.max_services
