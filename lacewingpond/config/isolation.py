"""Detects a VM that is too isolated to rely on its configuration."""

from collections.abc import Callable

from lacewingpond.config.contact_times import ContactTimes
from lacewingpond.config.options import ConfigOptions
from lacewingpond.membership.base import MembershipView
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

CHECK_INTERVAL_S = 1.0
"""How long a result is cached; each request asks for it."""


class IsolationDetector:
    """Detects when this VM may miss the withdrawal of a key for long.

    A VM that is cut off alone gets no message from the store or any other VM. The
    VMs of a group that is cut off together reach each other, but they are at most
    half of the listed VMs and none of them reaches the store. During an outage of
    the store alone all VMs reach each other, so neither condition holds.

    Parameters
    ----------
    contacts : ContactTimes
        Times of the last contacts.
    membership : MembershipView
        The live VMs.
    listed_count : callable
        Returns the number of other VMs in the platform's list as last read.
    options : ConfigOptions
        Time bounds.
    clock : Clock
        Times the checks.
    log : DecisionLog
        Gets a line when the result changes.
    """

    __slots__ = ("_contacts", "_membership", "_listed_count", "_options", "_clock")
    __slots__ += ("_log", "_isolation_reason", "_checked_at")

    def __init__(
        self,
        contacts: ContactTimes,
        membership: MembershipView,
        listed_count: Callable[[], int],
        options: ConfigOptions,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._contacts = contacts
        self._membership = membership
        self._listed_count = listed_count
        self._options = options
        self._clock = clock
        self._log = log
        self._isolation_reason = ""
        self._checked_at = float("-inf")

    def is_isolated(self) -> bool:
        """Return whether this VM must refuse requests to routes that need a key."""
        now = self._clock.now()
        if now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self._check()
        return bool(self._isolation_reason)

    def _check(self) -> None:
        why = self._reason()
        if why == self._isolation_reason:
            return
        self._isolation_reason = why
        self._log.decision(
            "config-isolation",
            "isolated" if why else "connected",
            why or "the store or enough VMs are reachable again",
            store_age_s=round(self._contacts.store_age_s(), 1),
        )

    def _reason(self) -> str:
        listed = self._listed_count()
        if listed == 0:
            return ""
        if self._has_no_contact():
            return "neither the store nor any other VM has responded"
        if self._is_in_isolated_minority(listed):
            return "only a minority of the VMs is reachable, and none reaches the store"
        return ""

    def _has_no_contact(self) -> bool:
        bound_s = self._options.isolation_s
        store_answered = self._contacts.own_store_age_s() < bound_s
        return not store_answered and self._contacts.peer_age_s() >= bound_s

    def _is_in_isolated_minority(self, listed: int) -> bool:
        """Return whether at most half of the VMs are live, and none has the store."""
        if self._contacts.store_age_s() < self._options.minority_s:
            return False
        reachable = len(self._membership.live()) + 1
        return 2 * reachable <= listed + 1
