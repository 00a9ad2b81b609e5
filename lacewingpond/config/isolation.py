"""Decides whether this VM is too far cut off to trust its configuration."""

from collections.abc import Callable

from lacewingpond.config.contacts import Contacts
from lacewingpond.config.options import ConfigOptions
from lacewingpond.membership.base import MembershipView
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

CHECK_PERIOD_S = 1.0
"""How long a verdict is used; each request asks for it."""


class IsolationRule:
    """Tells when a withdrawn key might still be accepted here for long.

    A VM alone hears nobody. A group that is cut off together hears itself, but
    it is at most half of the listed VMs and none of it hears the store. During an
    outage of the store alone the VMs still reach each other, so neither holds.

    Parameters
    ----------
    contacts : Contacts
        Who was heard, and when.
    membership : MembershipView
        The VMs that seem to answer.
    listed : callable
        Returns how many other VMs the platform's list held when last read.
    options : ConfigOptions
        Bounds.
    clock : Clock
        Times the verdict.
    log : DecisionLog
        Takes a line when the verdict changes.
    """

    __slots__ = ("_contacts", "_membership", "_listed", "_options", "_clock", "_log")
    __slots__ += ("_why", "_checked_at")

    def __init__(
        self,
        contacts: Contacts,
        membership: MembershipView,
        listed: Callable[[], int],
        options: ConfigOptions,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._contacts = contacts
        self._membership = membership
        self._listed = listed
        self._options = options
        self._clock = clock
        self._log = log
        self._why = ""
        self._checked_at = float("-inf")

    def is_isolated(self) -> bool:
        """Return whether routes that need a key must be refused here."""
        now = self._clock.now()
        if now - self._checked_at >= CHECK_PERIOD_S:
            self._checked_at = now
            self._check()
        return bool(self._why)

    def _check(self) -> None:
        why = self._reason()
        if why == self._why:
            return
        self._why = why
        self._log.decision(
            "config-isolation",
            "isolated" if why else "connected",
            why or "the store or enough VMs are heard again",
            store_age_s=round(self._contacts.store_age_s(), 1),
        )

    def _reason(self) -> str:
        listed = self._listed()
        if listed == 0:
            return ""
        if self._is_alone():
            return "neither the store nor any VM is heard"
        if self._is_in_minority(listed):
            return "a minority of the VMs is heard and none of them hears the store"
        return ""

    def _is_alone(self) -> bool:
        bound_s = self._options.isolation_s
        heard_store = self._contacts.own_store_age_s() < bound_s
        return not heard_store and self._contacts.peer_age_s() >= bound_s

    def _is_in_minority(self, listed: int) -> bool:
        if self._contacts.store_age_s() < self._options.minority_s:
            return False
        reached = len(self._membership.live()) + 1
        return 2 * reached <= listed + 1
