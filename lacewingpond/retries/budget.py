"""Retry budgets, which limit retries to a share of each service's requests."""

from lacewingpond.retries.options import RetryOptions


class RetryBudget:
    """Balance of retries for each service.

    Each request adds `share` of a retry to the balance and each retry takes one.
    Over any period a service therefore gets at most ``requests * (1 + share)``
    attempts plus the reserve, however many attempts fail. The balance starts with a
    few retries, so that the first requests of a service with little traffic survive
    a failing target too.

    Parameters
    ----------
    options : RetryOptions
        Settings.
    """

    __slots__ = ("_options", "_balances")

    def __init__(self, options: RetryOptions) -> None:
        self._options = options
        self._balances: dict[str, float] = {}

    @classmethod
    def from_options(cls, options: RetryOptions) -> "RetryBudget":
        """Return a budget in which no service has made a request yet."""
        return cls(options)

    def set_options(self, options: RetryOptions) -> None:
        """Replace the settings and cap all balances at the new reserve."""
        self._options = options
        self._balances = {
            service: min(balance, options.reserve)
            for service, balance in self._balances.items()
        }

    def earn(self, service: str) -> None:
        """Count the first attempt of a request.

        A new service is ignored while `max_services` others have a balance.
        """
        if service not in self._balances and self._is_full():
            return
        balance = self._balances.get(service, self._options.first) + self._options.share
        self._balances[service] = min(balance, self._options.reserve)

    def can_spend(self, service: str, most_urgent: bool = True) -> bool:
        """Return whether a retry may be made now.

        Parameters
        ----------
        service : str
            Service of the request.
        most_urgent : bool
            False for requests that must leave the last half of the balance to more
            urgent ones.
        """
        kept = 0.0 if most_urgent else self._kept()
        return self._balances.get(service, 0.0) >= 1.0 + kept

    def can_spend_spare(self, service: str) -> bool:
        """Return whether a retry may be taken so that half of the reserve is left.

        Half of a reserve below two retries is less than one whole retry. Only a full
        balance has one to spare then: what is earned beyond it would be lost.
        """
        reserve = self._options.reserve
        enough = reserve / 2 + 1.0 if reserve >= 2.0 else reserve
        return self.can_spend(service) and self._balances[service] >= enough

    def spend(self, service: str) -> bool:
        """Take one retry from the balance; return False if there is none."""
        if not self.can_spend(service):
            return False
        self._balances[service] -= 1.0
        return True

    def refund(self, service: str) -> None:
        """Return a retry that was taken and not made."""
        if service in self._balances:
            balance = self._balances[service] + 1.0
            self._balances[service] = min(balance, self._options.reserve)

    def keep_only(self, services: frozenset[str]) -> None:
        """Drop the balances of all services but `services`."""
        for service in set(self._balances) - services:
            del self._balances[service]

    def _kept(self) -> float:
        """Return the part of the balance that is left to urgent requests.

        It is half of the reserve. A reserve of less than two retries can't be divided
        so: then a full one is enough for any request.
        """
        return max(min(self._options.reserve / 2.0, self._options.reserve - 1.0), 0.0)

    def _is_full(self) -> bool:
        return len(self._balances) >= self._options.max_services
